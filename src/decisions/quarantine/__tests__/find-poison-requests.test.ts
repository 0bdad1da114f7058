import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {CrashRecord, LostRequest} from '../crash-record.js';
import {findPoisonRequests} from '../find-poison-requests.js';

type Lost = Readonly<{id: string; fingerprint: string; sentAtMillis: number}>;
type Crash = Readonly<{atMillis: number; lost: readonly Lost[]; sound?: readonly string[]; known?: readonly string[]}>;

function createCrash({atMillis, lost, sound = [], known = []}: Crash, i: number): CrashRecord {
	return {
		server: `s${i}`,
		incarnation: i,
		atMillis,
		lost: lost.map(({id, fingerprint, sentAtMillis}): LostRequest => ({
			attemptId: id, fingerprint, sentAtMillis, parts: [],
		})),
		soundParts: new Set(sound),
		knownParts: new Set(known),
	};
}

const lost = (id: string, fingerprint: string, sentAtMillis: number): Lost => ({id, fingerprint, sentAtMillis});

const cases: ReadonlyArray<Readonly<{name: string; crashes: readonly Crash[]; known?: string; found: readonly string[]}>> = [
	{
		name: 'two crashes are no evidence, as a request may be repeated during other trouble',
		crashes: [{atMillis: 100, lost: [lost('a', 'bad', 50)]}, {atMillis: 200, lost: [lost('a', 'bad', 101)]}],
		found: [],
	},
	{
		name: 'three crashes in a row',
		crashes: [{atMillis: 100, lost: [lost('a', 'bad', 50)]}, {atMillis: 200, lost: [lost('a', 'bad', 101)]}, {atMillis: 900, lost: [lost('b', 'bad', 800)]}],
		found: ['bad'],
	},
	{
		name: 'copies at once are lost together, and one that is repeated is lost again',
		crashes: [{atMillis: 100, lost: [lost('a', 'bad', 50)]}, {atMillis: 101, lost: [lost('b', 'bad', 51)]}, {atMillis: 200, lost: [lost('a', 'bad', 102)]}],
		found: ['bad'],
	},
	{
		name: 'a repeat is evidence even if it seems to have been sent too early, as told by another entry',
		crashes: [{atMillis: 100, lost: [lost('a', 'bad', 50)]}, {atMillis: 140, lost: [lost('a', 'bad', 99)]}, {atMillis: 180, lost: [lost('a', 'bad', 139)]}],
		found: ['bad'],
	},
	{
		name: 'many engines crash at once, all with copies of one request',
		crashes: [{atMillis: 100, lost: [lost('a', 'hot', 50)]}, {atMillis: 101, lost: [lost('b', 'hot', 60)]}, {atMillis: 102, lost: [lost('c', 'hot', 70)]}],
		found: [],
	},
	{
		name: 'an answer since one of the crashes',
		crashes: [{atMillis: 100, lost: [lost('a', 'hot', 50)], sound: ['hot']}, {atMillis: 200, lost: [lost('a', 'hot', 101)]}, {atMillis: 900, lost: [lost('b', 'hot', 800)]}],
		found: [],
	},
	{
		name: 'a request that was answered before, by this entry or another, needs four crashes in a row',
		crashes: [
			{atMillis: 100, lost: [lost('a', 'hot', 50), lost('b', 'warm', 50)], known: ['warm']},
			{atMillis: 200, lost: [lost('c', 'hot', 150), lost('d', 'warm', 150)]},
			{atMillis: 300, lost: [lost('e', 'hot', 250), lost('f', 'warm', 250)]},
		],
		known: 'hot',
		found: [],
	},
	{
		name: 'requests that are lost with a poisonous one are not found, if they are not lost again',
		crashes: [
			{atMillis: 100, lost: [lost('a', 'bad', 50), lost('x', 'other', 60)]},
			{atMillis: 200, lost: [lost('a', 'bad', 101), lost('y', 'another', 110)]},
			{atMillis: 300, lost: [lost('b', 'bad', 250), lost('z', 'third', 260)]},
		],
		found: ['bad'],
	},
	{
		name: 'two poisonous requests',
		crashes: [
			{atMillis: 100, lost: [lost('a', 'bad', 50), lost('p', 'worse', 50)]},
			{atMillis: 200, lost: [lost('a', 'bad', 101), lost('p', 'worse', 102)]},
			{atMillis: 300, lost: [lost('b', 'bad', 250), lost('q', 'worse', 251)]},
		],
		found: ['bad', 'worse'],
	},
	{
		name: 'an entry that does not tell fingerprints',
		crashes: [{atMillis: 100, lost: [lost('a', '', 50)]}, {atMillis: 200, lost: [lost('b', '', 101)]}, {atMillis: 900, lost: [lost('c', '', 800)]}],
		found: [],
	},
];

for (const {name, crashes, known, found} of cases) {
	void test(`requests that crash backend servers: ${name}`, () => {
		const findings = findPoisonRequests(crashes.map((crash, i) => createCrash(crash, i)).toReversed(), fingerprint => fingerprint === known);
		assert.deepEqual(findings.map(({fingerprint}) => fingerprint).toSorted(), found);
	});
}
