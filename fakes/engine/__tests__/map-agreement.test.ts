import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Result} from '../../../src/core/result.js';
import {createInitialMap} from '../expert-shape.js';
import {createMapAgreement, type MapAgreement, type MapRefusal} from '../map-agreement.js';

const map = createInitialMap({
	ranks: 2, layers: 1, experts: 4, slotsPerRank: 2,
});

type Order = (agreement: MapAgreement) => Result<void, MapRefusal>;

const hold = (epoch: number, fromStep: number): Order => agreement => agreement.hold({epoch, fromStep});
const release = (epoch: number): Order => agreement => agreement.release(epoch);
const forbid = (epoch: number): Order => agreement => agreement.forbid(epoch);
const takeMap = (epoch: number, fromStep: number): Order => agreement => agreement.takeMap({epoch, map, fromStep});
const restart = (incarnation: string): Order => agreement => {
	agreement.restartGroup(incarnation, 0);
	return {ok: true, value: undefined};
};

/** An engine that has started steps 0 and 1. */
async function createRunningAgreement(): Promise<MapAgreement> {
	const agreement = createMapAgreement(map);
	agreement.restartGroup('first', 0);
	await agreement.beginStep();
	await agreement.beginStep();
	return agreement;
}

const cases: ReadonlyArray<Readonly<{name: string; orders: readonly Order[]; outcomes: readonly string[]}>> = [
	{name: 'a repeated hold', orders: [hold(1, 9), hold(1, 9)], outcomes: ['done', 'done']},
	{name: 'a hold of the next step', orders: [hold(1, 2)], outcomes: ['done']},
	{name: 'a hold of a step that has started', orders: [hold(1, 1)], outcomes: ['step_past']},
	{name: 'a second hold', orders: [hold(1, 9), hold(2, 9)], outcomes: ['done', 'other_hold']},
	{name: 'a hold of the same epoch at another step', orders: [hold(1, 9), hold(1, 8)], outcomes: ['done', 'other_hold']},
	{name: 'a hold after the release', orders: [release(1), hold(1, 9)], outcomes: ['done', 'released']},
	{name: 'a hold after hold and release', orders: [hold(1, 9), release(1), hold(1, 9)], outcomes: ['done', 'done', 'released']},
	{name: 'an epoch forbidden before its hold', orders: [forbid(1), hold(1, 9)], outcomes: ['done', 'released']},
	{name: 'an epoch forbidden while it is held', orders: [hold(1, 9), forbid(1), takeMap(1, 9), forbid(1)], outcomes: ['done', 'held', 'done', 'taken']},
	{name: 'a repeated release', orders: [release(1), release(1)], outcomes: ['done', 'done']},
	{name: 'a release of one epoch while another is held', orders: [hold(2, 9), release(1), hold(2, 9)], outcomes: ['done', 'done', 'done']},
	{name: 'a map without a hold', orders: [takeMap(1, 9)], outcomes: ['no_hold']},
	{name: 'a map at another step than the hold', orders: [hold(1, 9), takeMap(1, 8)], outcomes: ['done', 'no_hold']},
	{name: 'a map after the release', orders: [hold(1, 9), release(1), takeMap(1, 9)], outcomes: ['done', 'done', 'no_hold']},
	{name: 'a map taken again', orders: [hold(1, 9), takeMap(1, 9), takeMap(1, 9)], outcomes: ['done', 'done', 'done']},
	{name: 'a release after the map', orders: [hold(1, 9), takeMap(1, 9), release(1)], outcomes: ['done', 'done', 'taken']},
	{name: 'a hold after the map', orders: [hold(1, 9), takeMap(1, 9), hold(1, 9)], outcomes: ['done', 'done', 'taken']},
	{name: 'a hold while a map waits for its step', orders: [hold(1, 9), takeMap(1, 9), hold(2, 20)], outcomes: ['done', 'done', 'map_pending']},
	{name: 'a map of the group before its restart', orders: [hold(1, 9), restart('second'), takeMap(1, 9)], outcomes: ['done', 'done', 'no_hold']},
	{name: 'a hold of the group before its restart', orders: [hold(1, 9), restart('second'), hold(1, 9)], outcomes: ['done', 'done', 'released']},
	{name: 'a release across a restart', orders: [release(1), restart('second'), hold(1, 9)], outcomes: ['done', 'done', 'released']},
	{name: 'a hold at step 0 after a restart', orders: [restart('second'), hold(1, 0)], outcomes: ['done', 'done']},
	{name: 'one restart reported twice', orders: [restart('second'), hold(1, 0), restart('second'), hold(1, 0)], outcomes: ['done', 'done', 'done', 'done']},
];
for (const {name, orders, outcomes} of cases) {
	test(`engine's map, ${name}: ${outcomes.join(', ')}`, async () => {
		const agreement = await createRunningAgreement();
		const results = orders.map(order => order(agreement));
		assert.deepEqual(results.map(result => result.ok ? 'done' : result.error.reason), outcomes);
	});
}

const endings: ReadonlyArray<Readonly<{name: string; order: Order; expected: readonly [string, number, number]}>> = [
	{name: 'released', order: release(1), expected: ['first', 2, 0]},
	{name: 'committed', order: takeMap(1, 2), expected: ['first', 2, 1]},
	{name: 'overtaken by a restart', order: restart('second'), expected: ['second', 0, 0]},
];
for (const {name, order, expected} of endings) {
	test(`engine's map: a held step does not start before the hold is ${name}`, async () => {
		const agreement = await createRunningAgreement();
		agreement.hold({epoch: 1, fromStep: 2});
		let hasStarted = false;
		const step = agreement.beginStep().then(value => {
			hasStarted = true;
			return value;
		});
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		assert.equal(hasStarted, false);
		order(agreement);
		const {groupIncarnation, step: number, epoch} = await step;
		assert.deepEqual([groupIncarnation, number, epoch], expected);
	});
}

test('engine\'s map: a committed map is used from its first step on and not before', async () => {
	const agreement = await createRunningAgreement();
	agreement.hold({epoch: 1, fromStep: 3});
	agreement.takeMap({epoch: 1, map, fromStep: 3});
	const steps = [await agreement.beginStep(), await agreement.beginStep(), await agreement.beginStep()];
	assert.deepEqual(steps.map(({step, epoch}) => [step, epoch]), [[2, 0], [3, 1], [4, 1]]);
});
