import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {request} from 'undici';
import {z} from 'zod';
import {createHttpModelEngine} from '../../src/adapters/http-model-engine.js';
import {createLifeCycle, type LifeCycle} from '../../src/core/life-cycle.js';
import {systemClock} from '../../src/core/system-clock.js';
import type {EngineOrder, EngineState, ModelEngine} from '../../src/ports/model-engine.js';
import {DEFAULT_ENGINE_OPTIONS, type EngineOptions} from '../engine/engine-options.js';
import {createInitialMap} from '../engine/expert-shape.js';
import type {FaultChange} from '../faults/fault-switches.js';
import type {StandIn} from '../http/stand-in.js';
import {createModelEngine} from '../model-engine.js';
import {createRankGroup} from '../rank-group.js';
import {readRecords} from '../read-records.js';
import {PATIENT_TIMEOUT_MILLIS} from '../test-timeouts.js';

const RANKS = 3;
/** Distance between the current step and the step to hold; more steps than can be in progress when the group is frozen. */
const AHEAD_STEPS = 20;
const POLL_MILLIS = 5;
const EPOCH = 7;
const shape = {
	ranks: RANKS, layers: 1, experts: 6, slotsPerRank: 3,
};
const map = createInitialMap(shape);
const recordsSchema = z.object({
	groupIncarnation: z.string(),
	mixedSteps: z.array(z.object({step: z.number(), epochs: z.array(z.number())})),
	switches: z.array(z.object({epoch: z.number(), firstStep: z.number()})),
	restarts: z.number(),
	steps: z.number(),
	step: z.number(),
});

async function startEngine(lifeCycle: LifeCycle, options: Partial<EngineOptions>) {
	const standIn = await createModelEngine({
		...DEFAULT_ENGINE_OPTIONS, ...options, shape, loadLagMillis: 0,
	});
	lifeCycle.own('engine', standIn.close);
	const engine = createHttpModelEngine({
		baseUrl: standIn.url, timeoutMillis: PATIENT_TIMEOUT_MILLIS, loadTimeoutMillis: PATIENT_TIMEOUT_MILLIS, lifeCycle,
	});
	return {standIn, engine};
}

async function start(ctx: TestContext) {
	const lifeCycle = createLifeCycle();
	ctx.after(async () => lifeCycle.shutdown());
	const group = await createRankGroup({listen: '127.0.0.1:0', ranks: RANKS, baseStepMillis: 1});
	lifeCycle.own('rank group', group.close);
	const startedEngines = await Promise.all(Array.from({length: RANKS}, async (_, rank) =>
		startEngine(lifeCycle, {rank, groupUrl: group.url})));
	return {
		lifeCycle, group, startedEngines, engines: startedEngines.map(({engine}) => engine),
	};
}

async function waitForState(engine: ModelEngine, isExpected: (state: EngineState) => boolean): Promise<EngineState> {
	const state = await engine.readState();
	if (state.ok && isExpected(state.value)) {
		return state.value;
	}

	await systemClock.sleep(POLL_MILLIS);
	return waitForState(engine, isExpected);
}

/** Waits until the group has recorded `count` maps in use, including the initial one. */
async function waitForSwitches(group: StandIn, count: number): Promise<z.infer<typeof recordsSchema>> {
	const records = await readRecords(group.url, recordsSchema);
	if (records.switches.length >= count) {
		return records;
	}

	await systemClock.sleep(POLL_MILLIS);
	return waitForSwitches(group, count);
}

async function orderAll(engines: readonly ModelEngine[], order: EngineOrder): Promise<void> {
	const results = await Promise.all(engines.map(async engine => engine.order(order, 1)));
	assert.ok(results.every(result => result.ok), JSON.stringify(results));
}

/** Waits until all engines have joined, freezes the group so that no order arrives too late, and holds `EPOCH` in all engines. Returns the first held step. */
async function freezeAndHoldAll(group: StandIn, engines: readonly ModelEngine[]): Promise<number> {
	await Promise.all(engines.map(async engine => waitForState(engine, state => state.groupIncarnation !== '')));
	group.faults.set({freeze: true});
	const {step} = await waitForState(engines[0]!, () => true);
	const fromStep = step + AHEAD_STEPS;
	await orderAll(engines, {tag: 'load_experts', epoch: EPOCH, map});
	await orderAll(engines, {tag: 'hold', epoch: EPOCH, fromStep});
	return fromStep;
}

test('rank group with engines: a committed map is used by all ranks from its first step on', async ctx => {
	const {group, engines} = await start(ctx);
	const fromStep = await freezeAndHoldAll(group, engines);
	await orderAll(engines, {
		tag: 'take_map', epoch: EPOCH, map, fromStep,
	});
	group.faults.reset();
	await Promise.all(engines.map(async engine => waitForState(engine, state => state.mapEpoch === EPOCH)));
	// The group records a switch later than the engines change their own state.
	const {mixedSteps, switches} = await waitForSwitches(group, 2);
	assert.deepEqual(mixedSteps, []);
	assert.deepEqual(switches.map(({epoch, firstStep}) => [epoch, firstStep]), [[0, 0], [EPOCH, fromStep]]);
});

test('rank group with engines: a map that one rank does not take is recorded as mixed steps', async ctx => {
	const {group, engines} = await start(ctx);
	const fromStep = await freezeAndHoldAll(group, engines);
	const [first, ...others] = engines;
	await orderAll(others, {
		tag: 'take_map', epoch: EPOCH, map, fromStep,
	});
	await orderAll([first!], {tag: 'release', epoch: EPOCH});
	group.faults.reset();
	await waitForState(first!, state => state.step > fromStep + 1);
	const {mixedSteps} = await readRecords(group.url, recordsSchema);
	assert.deepEqual(mixedSteps[0], {step: fromStep, epochs: [0, EPOCH, EPOCH]});
});

test('rank group with engines: while one rank holds, no rank runs the held step', async ctx => {
	const {group, engines} = await start(ctx);
	const fromStep = await freezeAndHoldAll(group, engines);
	const [first, ...others] = engines;
	await orderAll(others, {tag: 'release', epoch: EPOCH});
	group.faults.reset();
	await Promise.all(others.map(async engine => waitForState(engine, state => state.step === fromStep + 1)));
	const held = await waitForState(first!, state => state.step === fromStep);
	assert.deepEqual(held.hold, {epoch: EPOCH, fromStep});
	await orderAll([first!], {tag: 'release', epoch: EPOCH});
	await waitForState(first!, state => state.step > fromStep + 1);
});

test('rank group with engines: a restart ends a hold permanently, and a replacement engine restarts the group', async ctx => {
	const {
		lifeCycle, group, startedEngines, engines,
	} = await start(ctx);
	const fromStep = await freezeAndHoldAll(group, engines);
	group.faults.reset();
	const {groupIncarnation} = await readRecords(group.url, recordsSchema);
	const reply = await request(`${group.url}/control/restart-group`, {method: 'POST'});
	await reply.body.dump();
	const state = await waitForState(engines[0]!, other => other.groupIncarnation !== groupIncarnation);
	assert.deepEqual([state.hold, state.releasedEpochs], [undefined, [EPOCH]]);
	const late = await engines[0]!.order({
		tag: 'take_map', epoch: EPOCH, map, fromStep,
	}, 1);
	assert.equal(late.ok, false);

	await startedEngines[0]!.standIn.close();
	await startEngine(lifeCycle, {rank: 0, groupUrl: group.url});
	await waitForState(engines[1]!, other => other.groupIncarnation !== state.groupIncarnation && other.step > 2);
	const {restarts, mixedSteps} = await readRecords(group.url, recordsSchema);
	assert.deepEqual([restarts, mixedSteps], [2, []]);
});

const groupFaults: ReadonlyArray<Readonly<{name: string; faults: FaultChange}>> = [
	{name: 'one third of the replies lost', faults: {replyLostShare: 1 / 3}},
	{name: 'open connections silent', faults: {silenceOpenConnections: true}},
];
for (const {name, faults} of groupFaults) {
	test(`rank group with engines, ${name}: the group continues and each step runs once`, async ctx => {
		const {group, engines} = await start(ctx);
		const {step} = await waitForState(engines[0]!, state => state.step > 2);
		group.faults.set(faults);
		await waitForState(engines[0]!, state => state.step > step + AHEAD_STEPS);
		const {steps, step: next, mixedSteps, restarts} = await readRecords(group.url, recordsSchema);
		assert.ok(steps === next || steps === next + 1, 'the running step may already be counted');
		assert.deepEqual([mixedSteps, restarts], [[], 0]);
	});
}
