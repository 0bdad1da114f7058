import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createManualClock, type ManualClock} from '../../../src/core/manual-clock.js';
import {createStepBarrier, type Arrival, type StepBarrier} from '../step-barrier.js';

const RANKS = 2;
const STEP_MILLIS = 10;

function createBarrier(): Readonly<{barrier: StepBarrier; clock: ManualClock; incarnation: string}> {
	const clock = createManualClock();
	const barrier = createStepBarrier({ranks: RANKS, baseStepMillis: STEP_MILLIS, clock});
	const {groupIncarnation} = barrier.join(0, 'engine-0');
	barrier.join(1, 'engine-1');
	return {barrier, clock, incarnation: groupIncarnation};
}

function arrival(groupIncarnation: string, rank: number, change: Partial<Arrival> = {}): Arrival {
	return {
		rank, groupIncarnation, step: 0, epoch: 0, load: 1, ...change,
	};
}

test('rank group: a step runs when all ranks have arrived and takes as long as its most loaded rank', async () => {
	const {barrier, clock, incarnation} = createBarrier();
	const first = barrier.arrive(arrival(incarnation, 0, {load: 3}));
	assert.equal(barrier.report().steps, 0);
	const second = barrier.arrive(arrival(incarnation, 1));
	clock.advance(15);
	const outcomes = await Promise.all([first, second]);
	assert.deepEqual(outcomes.map(outcome => outcome.tag === 'ran' && outcome.stepMillis), [15, 15]);
	assert.deepEqual([barrier.report().steps, barrier.report().meanSkew], [1, 1.5]);
});

test('rank group: a step with two epochs is recorded as mixed, and a map switch is recorded with its first step', async () => {
	const {barrier, clock, incarnation} = createBarrier();
	const arrivals = [barrier.arrive(arrival(incarnation, 1, {epoch: 5})), barrier.arrive(arrival(incarnation, 0))];
	clock.advance(STEP_MILLIS);
	await Promise.all(arrivals);
	const {mixedSteps, switches} = barrier.report();
	assert.deepEqual(mixedSteps, [{groupIncarnation: incarnation, step: 0, epochs: [0, 5]}]);
	assert.deepEqual(switches.map(({epoch, firstStep}) => [epoch, firstStep]), [[5, 0]]);
});

test('rank group: a rank that repeats its arrival counts once', async () => {
	const {barrier, clock, incarnation} = createBarrier();
	const arrivals = [0, 0, 1].map(async rank => barrier.arrive(arrival(incarnation, rank)));
	clock.advance(STEP_MILLIS);
	await Promise.all(arrivals);
	const late = await barrier.arrive(arrival(incarnation, 0));
	assert.equal(late.tag, 'ran');
	assert.equal(barrier.report().steps, 1);
});

const restarts = [
	{
		name: 'on demand',
		restart(barrier: StepBarrier) {
			barrier.restart();
		},
	},
	{
		name: 'by a replacement engine',
		restart(barrier: StepBarrier) {
			barrier.join(1, 'engine-2');
		},
	},
];
for (const {name, restart} of restarts) {
	test(`rank group: a restart ${name} sends all ranks back to step 0 of a new incarnation`, async () => {
		const {barrier, incarnation} = createBarrier();
		const waiting = barrier.arrive(arrival(incarnation, 0));
		const watching = barrier.nextIncarnation(incarnation);
		restart(barrier);
		const outcome = await waiting;
		assert.equal(outcome.tag, 'restarted');
		const late = await barrier.arrive(arrival(incarnation, 1));
		assert.deepEqual(late, outcome);
		assert.equal(await watching, barrier.report().groupIncarnation);
		assert.notEqual(barrier.report().groupIncarnation, incarnation);
		assert.deepEqual([barrier.report().step, barrier.report().steps], [0, 0]);
	});
}

test('rank group: the same engine rejoins at the current step without a restart', () => {
	const {barrier, incarnation} = createBarrier();
	assert.deepEqual(barrier.join(1, 'engine-1'), {groupIncarnation: incarnation, step: 0});
	assert.equal(barrier.report().restarts, 0);
});
