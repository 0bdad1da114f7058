/** Replays engines that become cold in front of several entries, each with its own and sometimes outdated knowledge. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createManualClock} from '../../../core/manual-clock.js';
import {createSeededRandom} from '../../random.js';
import {createColdEngines, type ListedEngine} from '../cold-engines.js';
import {createRateLimiter} from '../rate-limiter.js';

const RULE = {coldMillis: 3000, requestsPerSecond: 17};
const BOUNDS = {overage: 1.5, slack: 5};
/** Requests in any one second that an engine takes while it is cold. */
const MAX_PER_SECOND = (RULE.requestsPerSecond * BOUNDS.overage) + BOUNDS.slack;
/** Requests to one warm engine, in a second. */
const USUAL_PER_SECOND = 3;
const HEARTBEAT_MILLIS = 1200;
const STEP_MILLIS = 10;
/** Largest delay of a request, and of a list entry, on the way. */
const MAX_DELAY_MILLIS = 150;
/** Demand that comes in bursts is idle for the first part of each interval, in which entries save up what they may send. */
const BURST_INTERVAL_MILLIS = 2600;
const IDLE_MILLIS = 1300;
const COLD_AT_MILLIS = 2500;
const DURATION_MILLIS = 8000;

type Entry = {
	readonly id: string;
	/** Entries that it knows. */
	view: readonly string[];
	isFrozen: boolean;
	/** Whether list entries reach it. */
	isConnected: boolean;
};
type Event = Readonly<{atMillis: number; run: (entries: readonly Entry[]) => void}>;
type Options = Readonly<{entries: number; seed: number; isBursty: boolean; isNew: boolean; engines?: number; events?: readonly Event[]}>;

function chooseColdDemand(nowMillis: number, isBursty: boolean): number {
	return isBursty && (nowMillis - COLD_AT_MILLIS) % BURST_INTERVAL_MILLIS < IDLE_MILLIS ? 0 : Infinity;
}

/** Arrivals at each engine while it is cold; entries send all they may to a cold engine, at all times or in bursts, and its usual load to a warm one. */
function play({entries: count, seed, isBursty, isNew, engines: engineCount = 2, events = []}: Options): ReadonlyArray<readonly number[]> {
	const clock = createManualClock();
	const random = createSeededRandom(seed);
	const ids = Array.from({length: count}, (_, i) => `entry-${i}`);
	const engineIds = Array.from({length: engineCount}, (_, i) => `engine-${i}`);
	const entries = ids.map((id): Entry => ({
		id, view: ids, isFrozen: false, isConnected: true,
	}));
	const processes = entries.map(entry => {
		const coldEngines = createColdEngines({clock, bounds: BOUNDS, readRule: () => RULE});
		const limiter = createRateLimiter({
			clock, self: entry.id, limits: {read: () => undefined}, coldEngines, listEntries: () => entry.view,
		});
		return {
			entry, coldEngines, limiter, pending: [] as Array<Readonly<{atMillis: number; listed: ReadonlyMap<string, ListedEngine>}>>,
		};
	});
	const arrivals = engineIds.map(() => [] as number[]);

	function describe(nowMillis: number, sequence: number): ReadonlyMap<string, ListedEngine> {
		const isCold = nowMillis >= COLD_AT_MILLIS;
		return isNew && !isCold
			? new Map()
			: new Map(engineIds.map(id => [id, {
				service: 's', incarnation: isNew ? COLD_AT_MILLIS : -1e9, sequence, coldLeftMillis: isCold ? Math.max(0, COLD_AT_MILLIS + RULE.coldMillis - nowMillis) : 0,
			}]));
	}

	for (let nowMillis = 0; nowMillis < DURATION_MILLIS; nowMillis += STEP_MILLIS) {
		for (const event of events.filter(({atMillis}) => atMillis === nowMillis)) {
			event.run(entries);
		}

		// A new engine publishes its entry at once, one that becomes cold again with the next heartbeat.
		const isPublished = nowMillis % HEARTBEAT_MILLIS === 0 || (isNew && nowMillis === COLD_AT_MILLIS);
		for (const {entry, coldEngines, limiter, pending} of processes) {
			if (isPublished) {
				pending.push({atMillis: nowMillis + (random() * MAX_DELAY_MILLIS), listed: describe(nowMillis, nowMillis)});
			}

			const due = pending.filter(({atMillis}) => atMillis <= nowMillis);
			if (due.length > 0 && entry.isConnected && !entry.isFrozen) {
				pending.splice(0, due.length);
				coldEngines.update(due.at(-1)!.listed);
			}

			for (const [i, id] of entry.isFrozen ? [] : engineIds.entries()) {
				const isListed = !isNew || nowMillis >= COLD_AT_MILLIS + MAX_DELAY_MILLIS;
				const isCold = coldEngines.readRate(id) !== undefined;
				const wanted = isCold ? chooseColdDemand(nowMillis, isBursty) : Number(isListed && random() < USUAL_PER_SECOND / count * STEP_MILLIS / 1000);
				// The wait is read also while nothing is wanted, as a gateway does for each candidate.
				for (let sent = 0; limiter.readWaitMillis(id) === 0 && sent < wanted; sent++) {
					limiter.take(id);
					arrivals[i]!.push(nowMillis + (random() * MAX_DELAY_MILLIS));
				}
			}
		}

		clock.advance(STEP_MILLIS);
	}

	return arrivals.map(times => times.filter(atMillis => atMillis >= COLD_AT_MILLIS && atMillis < COLD_AT_MILLIS + RULE.coldMillis).toSorted((left, right) => left - right));
}

/** Largest number of arrivals in any second. */
function readMaxPerSecond(times: readonly number[]): number {
	return Math.max(0, ...times.map((startMillis, i) => times.slice(i).filter(atMillis => atMillis < startMillis + 1000).length));
}

function split(entries: readonly Entry[]): void {
	const half = Math.ceil((entries.length + 1) / 2);
	// The larger part divides the limit among its members; the smaller one keeps its shares.
	for (const entry of entries.slice(0, half)) {
		entry.view = entries.slice(0, half).map(({id}) => id);
	}
}

function setOutdated(isConnected: boolean, count: number): (entries: readonly Entry[]) => void {
	return entries => {
		for (const entry of entries.slice(-count)) {
			entry.isConnected = isConnected;
		}
	};
}

function setFrozen(isFrozen: boolean): (entries: readonly Entry[]) => void {
	return entries => {
		entries[0]!.isFrozen = isFrozen;
	};
}

/** Makes the last entry unknown to the others, and them to it. */
function leaveOut(entries: readonly Entry[]): void {
	for (const [i, entry] of entries.entries()) {
		entry.view = i === entries.length - 1 ? [] : entries.slice(0, -1).map(({id}) => id);
	}
}

const joinSome = (isMember: (i: number) => boolean) => (entries: readonly Entry[]): void => {
	for (const entry of entries.filter((_, i) => isMember(i))) {
		entry.view = entries.map(({id}) => id);
	}
};

const scenarios: ReadonlyArray<Readonly<{name: string; isNew: boolean; engines?: number; events?: readonly Event[]}>> = [
	{name: 'a whole failure domain returns cold at the same time', isNew: true, engines: 21},
	{name: 'an engine becomes cold again', isNew: false},
	{
		name: 'an engine becomes cold again while two entries have outdated information', isNew: false,
		events: [{atMillis: 1000, run: setOutdated(false, 2)}, {atMillis: 4500, run: setOutdated(true, 2)}],
	},
	{name: 'an entry that is disconnected from the store still sends', isNew: false, events: [{atMillis: 1000, run: setOutdated(false, 1)}]},
	{
		name: 'an entry joins late, and the others learn of it one after the other', isNew: true, events: [
			{atMillis: 0, run: leaveOut},
			{atMillis: 3300, run: joinSome(i => i % 2 === 0)},
			{atMillis: 4000, run: joinSome(() => true)},
		],
	},
	{name: 'the entries are partitioned before', isNew: true, events: [{atMillis: 1000, run: split}]},
	{name: 'the entries are partitioned meanwhile', isNew: true, events: [{atMillis: 3500, run: split}]},
	{name: 'an entry freezes and resumes', isNew: false, events: [{atMillis: 3900, run: setFrozen(true)}, {atMillis: 5000, run: setFrozen(false)}]},
];

for (const scenario of scenarios) {
	for (const entries of [3, 7, 18, 29]) {
		void test(`a cold engine gets no more than it takes in any second from ${entries} entries: ${scenario.name}`, () => {
			for (let seed = 1; seed <= 6; seed++) {
				const arrivals = play({
					...scenario, entries, seed, isBursty: seed % 2 === 0,
				});
				const max = Math.max(...arrivals.map(times => readMaxPerSecond(times)));
				assert.ok(max <= MAX_PER_SECOND, `seed ${seed}: ${max} requests in a second, ${MAX_PER_SECOND} are allowed`);
				assert.ok(Math.min(...arrivals.map(times => times.length)) >= USUAL_PER_SECOND * 2, 'a cold engine is used');
			}
		});
	}
}
