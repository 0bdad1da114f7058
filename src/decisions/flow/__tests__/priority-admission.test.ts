/** Replays peaks of two priorities at several entries, with the former queue as comparison. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {createManualClock} from '../../../core/manual-clock.js';
import {createSeededRandom, type RandomSource} from '../../random.js';
import {sum} from '../../sum.js';
import {MAX_RETRY_AFTER_MILLIS, STARVATION_BOUND_MILLIS} from '../flow-constants.js';
import {createPermitQueue} from '../permit-queue.js';
import {createPriorityReserve} from '../priority-reserve.js';

const ENTRIES = 4;
const DEADLINE_MILLIS = 8000;
const STEP_MILLIS = 10;
const RUN_MILLIS = 20_000;
/** Share of the capacity that the usual load of all priorities uses. */
const USUAL_LOAD = 0.72;
const FIRST_EVENT_MILLIS = 140;
/** Latency target, value to callers and share of the usual requests, by priority. */
const KINDS = [{targetMillis: 403, value: 3, share: 0.34}, {targetMillis: 403, value: 1.6, share: 0.33}, {targetMillis: 803, value: 0.8, share: 0.33}];
/** Share of its value that a late answer has. */
const LATE_VALUE = 0.35;
/** Longest time in which all entries together may serve nothing of a priority that is asked for; twice the starvation bound of one entry. */
const MAX_GAP_MILLIS = 2 * STARVATION_BOUND_MILLIS;

type Callers = 'told' | 'impatient';
type Options = Readonly<{hasPriorities: boolean; callers: Callers; permits: number; seed: number}>;
type Tally = {asked: number; served: number; onTime: number; longestGapMillis: number; servedAtMillis: number};

/** Factor on the usual rate: priority 2 peaks for 5 s, then priority 0 for 3 s. */
function readPeak(priority: number, nowMillis: number): number {
	const isPeakOf2 = priority === 2 && nowMillis >= 6000 && nowMillis < 11_000;
	const isPeakOf0 = priority === 0 && nowMillis >= 11_000 && nowMillis < 14_000;
	return isPeakOf2 ? 2.4 : (isPeakOf0 ? 1.9 : 1);
}

function drawHoldMillis(random: RandomSource): number {
	return 700 + (random() * 1400);
}

async function replay({hasPriorities, callers, permits, seed}: Options): Promise<readonly Tally[]> {
	const clock = createManualClock();
	const random = createSeededRandom(seed);
	const queues = Array.from({length: ENTRIES}, () => createPermitQueue({
		clock, random, readLimit: () => permits, hasPriorities: () => hasPriorities,
	}));
	const tallies: Tally[] = KINDS.map(() => ({
		asked: 0, served: 0, onTime: 0, longestGapMillis: 0, servedAtMillis: 0,
	}));
	const {signal} = new AbortController();

	async function ask(priority: number, tally: Tally, attemptsLeft: number, leftMillis: number): Promise<void> {
		const {targetMillis} = KINDS[priority] ?? {targetMillis: 0};
		const arrivedAtMillis = clock.monotonicMillis();
		const onTimeWaitMillis = targetMillis - FIRST_EVENT_MILLIS;
		const maxWaitMillis = hasPriorities && priority < 2 ? onTimeWaitMillis : targetMillis * 0.3;
		const decision = await queues[Math.floor(random() * ENTRIES)]?.admit({
			account: `${Math.floor(random() * 6)}`, priority, onTimeWaitMillis, maxWaitMillis,
		}, signal);
		const nowMillis = clock.monotonicMillis();
		if (decision?.tag === 'admitted') {
			tally.served++;
			tally.onTime += nowMillis - arrivedAtMillis <= onTimeWaitMillis ? 1 : 0;
			tally.longestGapMillis = Math.max(tally.longestGapMillis, nowMillis - tally.servedAtMillis);
			tally.servedAtMillis = nowMillis;
			await clock.sleep(drawHoldMillis(random));
			decision.release();
			return;
		}

		const pauseMillis = callers === 'told' ? decision?.retryAfterMillis ?? 0 : STEP_MILLIS;
		if (attemptsLeft > 0 && pauseMillis <= leftMillis / 3) {
			await clock.sleep(pauseMillis);
			await ask(priority, tally, attemptsLeft - 1, leftMillis - (nowMillis - arrivedAtMillis) - pauseMillis);
		}
	}

	const ratePerMilli = ENTRIES * permits * USUAL_LOAD / 1400;
	for (let atMillis = 0; atMillis < RUN_MILLIS; atMillis += STEP_MILLIS) {
		for (const [priority, {share}] of KINDS.entries()) {
			const tally = tallies[priority];
			if (tally && random() < ratePerMilli * share * readPeak(priority, atMillis) * STEP_MILLIS) {
				tally.asked++;
				void ask(priority, tally, callers === 'told' ? 1 : 3, DEADLINE_MILLIS);
			}
		}

		clock.advance(STEP_MILLIS);
		// eslint-disable-next-line no-await-in-loop -- Time advances in small steps.
		await nextTurn();
	}

	return tallies;
}

const format = (tallies: readonly Tally[]) => tallies.map(({asked, served, longestGapMillis}) => `${(served / asked).toFixed(3)} (gap ${longestGapMillis} ms)`).join(', ');

/** Share of the value to callers that was earned. */
function readValueShare(tallies: readonly Tally[]): number {
	const sumValues = (read: (tally: Tally) => number) => sum(tallies.map((tally, priority) => read(tally) * (KINDS[priority]?.value ?? 0)));
	return sumValues(({served, onTime}) => onTime + ((served - onTime) * LATE_VALUE)) / sumValues(({asked}) => asked);
}

for (const callers of ['told', 'impatient'] as const) {
	for (const permits of [5, 9, 15]) {
		void test(`peaks refuse the most urgent requests no more often than the least urgent ones, and starve none: ${permits} permits, callers ${callers}`, async t => {
			for (const seed of [1, 2, 3]) {
				/* eslint-disable no-await-in-loop -- One replay at a time. */
				const before = await replay({
					hasPriorities: false, callers, permits, seed,
				});
				const after = await replay({
					hasPriorities: true, callers, permits, seed,
				});
				/* eslint-enable no-await-in-loop */
				t.diagnostic(`seed ${seed}: served before ${format(before)}; after ${format(after)}`);
				const [urgent, , least] = after.map(({asked, served}) => served / asked);
				const [urgentBefore] = before.map(({asked, served}) => served / asked);
				assert.ok(urgent !== undefined && least !== undefined && urgent >= least);
				assert.ok(urgentBefore !== undefined && urgent > urgentBefore);
				assert.ok(least > 0.5, `${least} of the least urgent requests served`);
				assert.ok(Math.max(...after.map(({longestGapMillis}) => longestGapMillis)) < MAX_GAP_MILLIS);
				assert.ok(readValueShare(after) > readValueShare(before), 'more of the value is earned');
			}
		});
	}
}

/** Reserve at a time when requests of priority 0 arrive each 200 ms and hold permits for 1 s, of which `inFlight` are held. */
function createBusyReserve(inFlight: number) {
	const reserve = createPriorityReserve();
	for (let i = 0; i < 50; i++) {
		reserve.noteArrival(0, 10, i * 200);
		reserve.noteGrant(0, i * 200);
		reserve.noteRelease(0, 1000);
	}

	for (let i = 0; i < inFlight; i++) {
		reserve.noteGrant(0, 9800);
	}

	return reserve;
}

void test('the reserve follows the demand of more urgent requests that is not in flight yet', () => {
	assert.ok(Math.abs(createBusyReserve(3).read(1, 40, 9800) - 2) < 0.5);
	assert.equal(createBusyReserve(6).read(1, 40, 9800), 0);
	assert.equal(createBusyReserve(0).read(0, 40, 9800), 0, 'nothing is reserved against the most urgent priority');
	assert.ok(createBusyReserve(0).read(1, 40, 20_000) < 0.1, 'the reserve ends with the demand');
	assert.ok(createBusyReserve(0).read(1, 1, 9800) === 0, 'one permit is never reserved');
});

/** A queue of 4 permits of which 3 are held, while requests of priority 0 arrive each 200 ms that have held theirs for 2 s. */
async function createBusyQueue() {
	const clock = createManualClock();
	const {signal} = new AbortController();
	let limit = 20;
	const queue = createPermitQueue({
		clock, random: () => 0.9, readLimit: () => limit, hasPriorities: () => true,
	});

	async function ask(priority: number, maxWaitMillis: number) {
		return queue.admit({
			account: 'a', priority, onTimeWaitMillis: 10, maxWaitMillis,
		}, signal);
	}

	async function run(millis: number, holdMillis: number): Promise<void> {
		for (let leftMillis = millis; leftMillis > 0; leftMillis -= 50) {
			if (leftMillis % 200 === 0) {
				void ask(0, 10).then(async decision => {
					await clock.sleep(holdMillis);
					if (decision.tag === 'admitted') {
						decision.release();
					}
				});
			}

			// eslint-disable-next-line no-await-in-loop -- Time advances in small steps.
			await nextTurn();
			clock.advance(50);
		}
	}

	for (let i = 0; i < 3; i++) {
		void ask(0, 10);
	}

	await run(10_000, 2000);
	await run(2000, 100);
	assert.equal(queue.countInFlight(), 3);
	limit = 4;
	return {clock, ask, run};
}

void test('a reserve keeps a lower priority from a free permit, but no longer than the starvation bound', async () => {
	const {clock, ask, run} = await createBusyQueue();
	const startedAtMillis = clock.monotonicMillis();
	const granted = ask(2, 5000).then(({tag}) => ({tag, waitedMillis: clock.monotonicMillis() - startedAtMillis}));
	await run(5000, 100);
	const {tag, waitedMillis} = await granted;
	assert.equal(tag, 'admitted');
	assert.ok(waitedMillis > 500 && waitedMillis <= STARVATION_BOUND_MILLIS + 200, `${waitedMillis} ms`);
});

void test('a refused request of lower priority is told to come back when the more urgent ones are served, soon enough for a second attempt', async () => {
	const {ask, run} = await createBusyQueue();
	const refused = ask(2, 300);
	await run(400, 100);
	const decision = await refused;
	assert.ok(decision.tag === 'refused' && decision.retryAfterMillis >= 1000 && decision.retryAfterMillis <= MAX_RETRY_AFTER_MILLIS, JSON.stringify(decision));
	assert.ok(createBusyReserve(5).estimateServedMillis(2, 4, 10, 9800) > createBusyReserve(5).estimateServedMillis(0, 4, 10, 9800));
});
