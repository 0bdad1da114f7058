import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createManualClock, type ManualClock} from '../../../src/core/manual-clock.js';
import {createFabric, type Arrival, type Fabric} from '../fabric.js';

const RANKS = 2;
const STEP_MILLIS = 10;

function create(): Readonly<{fabric: Fabric; clock: ManualClock; incarnation: string}> {
	const clock = createManualClock();
	const fabric = createFabric({ranks: RANKS, baseStepMillis: STEP_MILLIS, clock});
	const {groupIncarnation} = fabric.join(0, 'engine-0');
	fabric.join(1, 'engine-1');
	return {fabric, clock, incarnation: groupIncarnation};
}

function arrival(groupIncarnation: string, rank: number, change: Partial<Arrival> = {}): Arrival {
	return {
		rank, groupIncarnation, step: 0, epoch: 0, load: 1, ...change,
	};
}

test('rank group: a step runs when all ranks have arrived, at the pace of the most loaded', async () => {
	const {fabric, clock, incarnation} = create();
	const first = fabric.arrive(arrival(incarnation, 0, {load: 3}));
	assert.equal(fabric.report().steps, 0);
	const second = fabric.arrive(arrival(incarnation, 1));
	clock.advance(15);
	const outcomes = await Promise.all([first, second]);
	assert.deepEqual(outcomes.map(outcome => outcome.tag === 'ran' && outcome.stepMillis), [15, 15]);
	assert.deepEqual([fabric.report().steps, fabric.report().meanSkew], [1, 1.5]);
});

test('rank group: a step with two epochs is recorded as mixed, and the switch with its first step', async () => {
	const {fabric, clock, incarnation} = create();
	const arrivals = [fabric.arrive(arrival(incarnation, 1, {epoch: 5})), fabric.arrive(arrival(incarnation, 0))];
	clock.advance(STEP_MILLIS);
	await Promise.all(arrivals);
	const {mixedSteps, switches} = fabric.report();
	assert.deepEqual(mixedSteps, [{groupIncarnation: incarnation, step: 0, epochs: [0, 5]}]);
	assert.deepEqual(switches.map(({epoch, firstStep}) => [epoch, firstStep]), [[5, 0]]);
});

test('rank group: a rank that repeats its arrival counts once', async () => {
	const {fabric, clock, incarnation} = create();
	const arrivals = [0, 0, 1].map(async rank => fabric.arrive(arrival(incarnation, rank)));
	clock.advance(STEP_MILLIS);
	await Promise.all(arrivals);
	const late = await fabric.arrive(arrival(incarnation, 0));
	assert.equal(late.tag, 'ran');
	assert.equal(fabric.report().steps, 1);
});

const restarts = [
	{
		name: 'on demand',
		restart(fabric: Fabric) {
			fabric.restart();
		},
	},
	{
		name: 'by an engine in the place of another',
		restart(fabric: Fabric) {
			fabric.join(1, 'engine-2');
		},
	},
];
for (const {name, restart} of restarts) {
	test(`rank group: a restart ${name} sends all ranks back to step 0 of a new incarnation`, async () => {
		const {fabric, incarnation} = create();
		const waiting = fabric.arrive(arrival(incarnation, 0));
		const watching = fabric.nextIncarnation(incarnation);
		restart(fabric);
		const outcome = await waiting;
		assert.equal(outcome.tag, 'restarted');
		const late = await fabric.arrive(arrival(incarnation, 1));
		assert.deepEqual(late, outcome);
		assert.equal(await watching, fabric.report().groupIncarnation);
		assert.notEqual(fabric.report().groupIncarnation, incarnation);
		assert.deepEqual([fabric.report().step, fabric.report().steps], [0, 0]);
	});
}

test('rank group: an engine that comes back joins the running step again', () => {
	const {fabric, incarnation} = create();
	assert.deepEqual(fabric.join(1, 'engine-1'), {groupIncarnation: incarnation, step: 0});
	assert.equal(fabric.report().restarts, 0);
});
