import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {CrashRecord, LostRequest} from '../crash-record.js';
import {findPoisonParts} from '../find-poison-parts.js';

type Lost = Readonly<{parts: string; sentAtMillis: number}>;
type Crash = Readonly<{atMillis: number; lost: readonly Lost[]; sound?: string}>;

function split(parts: string): string[] {
	return parts === '' ? [] : parts.split(' ');
}

function createCrash({atMillis, lost, sound = ''}: Crash, i: number): CrashRecord {
	return {
		server: `s${i}`,
		incarnation: i,
		atMillis,
		lost: lost.map(({parts, sentAtMillis}, j): LostRequest => ({
			attemptId: `${i}-${j}`, parts: split(parts), fingerprint: `${i}-${j}`, sentAtMillis,
		})),
		soundParts: new Set(split(sound)),
		knownParts: new Set(),
	};
}

type Case = Readonly<{name: string; crashes: readonly Crash[]; knownSound?: string; found: ReadonlyArray<readonly string[]>}>;

const cases: readonly Case[] = [
	{
		name: 'one crash is no evidence',
		crashes: [{atMillis: 100, lost: [{parts: 'sys bad x1', sentAtMillis: 50}]}],
		found: [],
	},
	{
		name: 'two crashes in a row are no evidence, as a part that is seldom asked for may be lost in two crashes of other causes',
		crashes: [
			{atMillis: 100, lost: [{parts: 'sys bad x1', sentAtMillis: 50}], sound: 'sys'},
			{atMillis: 300, lost: [{parts: 'sys bad x2', sentAtMillis: 200}]},
		],
		found: [],
	},
	{
		name: 'three crashes in a row on a part without a sound answer, while the others have one',
		crashes: [
			{atMillis: 100, lost: [{parts: 'sys bad x1', sentAtMillis: 50}], sound: 'sys'},
			{atMillis: 300, lost: [{parts: 'sys bad x2', sentAtMillis: 200}]},
			{atMillis: 500, lost: [{parts: 'sys bad x3', sentAtMillis: 400}]},
		],
		found: [['bad']],
	},
	{
		name: 'a part is the first one of its prompts',
		crashes: [
			{atMillis: 100, lost: [{parts: 'bad doc x1', sentAtMillis: 50}], sound: 'doc'},
			{atMillis: 300, lost: [{parts: 'bad doc x2', sentAtMillis: 200}]},
			{atMillis: 500, lost: [{parts: 'bad doc x3', sentAtMillis: 400}]},
		],
		found: [['bad']],
	},
	{
		name: 'bystanders that were lost in the same crashes',
		crashes: [
			{atMillis: 100, lost: [{parts: 'sys bad x1', sentAtMillis: 50}, {parts: 'sys doc y1', sentAtMillis: 60}], sound: 'sys'},
			{atMillis: 300, lost: [{parts: 'sys bad x2', sentAtMillis: 200}, {parts: 'sys other y2', sentAtMillis: 210}], sound: 'sys'},
			{atMillis: 500, lost: [{parts: 'sys bad x3', sentAtMillis: 400}, {parts: 'sys doc y3', sentAtMillis: 410}], sound: 'sys'},
		],
		found: [['bad']],
	},
	{
		name: 'two parts that were never seen apart are found together',
		crashes: [
			{atMillis: 100, lost: [{parts: 'sys bad doc x1', sentAtMillis: 50}], sound: 'sys'},
			{atMillis: 300, lost: [{parts: 'sys bad doc x2', sentAtMillis: 200}], sound: 'sys'},
			{atMillis: 500, lost: [{parts: 'sys bad doc x3', sentAtMillis: 400}], sound: 'sys'},
		],
		found: [['bad', 'doc']],
	},
	{
		name: 'a further crash tells them apart',
		crashes: [
			{atMillis: 100, lost: [{parts: 'sys bad doc x1', sentAtMillis: 50}], sound: 'sys'},
			{atMillis: 300, lost: [{parts: 'sys bad doc x2', sentAtMillis: 200}], sound: 'sys'},
			{atMillis: 500, lost: [{parts: 'sys bad doc x3', sentAtMillis: 400}], sound: 'sys'},
			{atMillis: 700, lost: [{parts: 'sys bad x4', sentAtMillis: 600}], sound: 'sys'},
		],
		found: [['bad']],
	},
	{
		name: 'two poisonous parts on different routes',
		crashes: [
			{atMillis: 100, lost: [{parts: 'sys bad1 x1', sentAtMillis: 50}], sound: 'sys'},
			{atMillis: 200, lost: [{parts: 'sys2 bad2 y1', sentAtMillis: 150}], sound: 'sys2'},
			{atMillis: 300, lost: [{parts: 'sys bad1 x2', sentAtMillis: 250}], sound: 'sys'},
			{atMillis: 400, lost: [{parts: 'sys2 bad2 y2', sentAtMillis: 350}], sound: 'sys2'},
			{atMillis: 500, lost: [{parts: 'sys bad1 x3', sentAtMillis: 450}], sound: 'sys'},
			{atMillis: 600, lost: [{parts: 'sys2 bad2 y3', sentAtMillis: 550}], sound: 'sys2'},
		],
		found: [['bad1'], ['bad2']],
	},
	{
		name: 'many backend servers that fail at once are one piece of evidence',
		crashes: [
			{atMillis: 100, lost: [{parts: 'sys doc x1', sentAtMillis: 50}]},
			{atMillis: 101, lost: [{parts: 'sys doc x2', sentAtMillis: 60}]},
			{atMillis: 102, lost: [{parts: 'sys doc x3', sentAtMillis: 70}]},
		],
		found: [],
	},
	{
		name: 'a request that is repeated while backend servers crash for other reasons',
		crashes: [
			{atMillis: 100, lost: [{parts: 'sys doc x1', sentAtMillis: 50}], sound: 'sys'},
			{atMillis: 200, lost: [{parts: 'sys doc x1', sentAtMillis: 120}], sound: 'sys'},
		],
		found: [],
	},
	{
		name: 'a part on which answers were written before needs a fourth crash',
		knownSound: 'sys doc',
		crashes: [
			{atMillis: 100, lost: [{parts: 'sys doc x1', sentAtMillis: 50}]},
			{atMillis: 300, lost: [{parts: 'sys doc x2', sentAtMillis: 200}]},
			{atMillis: 500, lost: [{parts: 'sys doc x3', sentAtMillis: 400}]},
		],
		found: [],
	},
	{
		name: 'parts of different requests that were lost in the same crashes',
		crashes: [
			{atMillis: 100, lost: [{parts: 'sys bad x1', sentAtMillis: 50}, {parts: 'sys doc y1', sentAtMillis: 50}], sound: 'sys'},
			{atMillis: 300, lost: [{parts: 'sys bad x2', sentAtMillis: 200}, {parts: 'sys doc y2', sentAtMillis: 200}], sound: 'sys'},
			{atMillis: 500, lost: [{parts: 'sys bad x3', sentAtMillis: 400}, {parts: 'sys doc y3', sentAtMillis: 400}], sound: 'sys'},
		],
		found: [['bad']],
	},
	{
		name: 'a part that was sound becomes poisonous',
		knownSound: 'sys doc',
		crashes: [
			{atMillis: 100, lost: [{parts: 'sys doc x1', sentAtMillis: 50}], sound: 'sys'},
			{atMillis: 300, lost: [{parts: 'sys doc x2', sentAtMillis: 200}], sound: 'sys'},
			{atMillis: 500, lost: [{parts: 'sys doc x3', sentAtMillis: 400}], sound: 'sys'},
			{atMillis: 700, lost: [{parts: 'sys doc x4', sentAtMillis: 600}], sound: 'sys'},
		],
		found: [['doc']],
	},
	{
		name: 'a part that is known to be sound is not held responsible beside one that is not',
		knownSound: 'sys doc',
		crashes: [
			{atMillis: 100, lost: [{parts: 'sys doc bad x1', sentAtMillis: 50}]},
			{atMillis: 300, lost: [{parts: 'sys doc bad x2', sentAtMillis: 200}]},
			{atMillis: 500, lost: [{parts: 'sys doc bad x3', sentAtMillis: 400}]},
		],
		found: [['bad']],
	},
];

for (const {name, crashes, knownSound = '', found} of cases) {
	void test(`poisonous parts of prompts: ${name}`, () => {
		const known = new Set(split(knownSound));
		const findings = findPoisonParts(crashes.map((crash, i) => createCrash(crash, i)), {isKnownSound: part => known.has(part)});
		assert.deepEqual(new Set(findings.map(({parts}) => parts.join(' '))), new Set(found.map(parts => parts.join(' '))));
	});
}
