import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createManualClock} from '../../../core/manual-clock.js';
import {createSeededRandom} from '../../random.js';
import {createRateLimiter} from '../rate-limiter.js';

/** The platform's bound: one and a half times the limit over 4 s, and 5 requests. */
const WINDOW_MILLIS = 4000;
const readBound = (limit: number) => (1.5 * limit * WINDOW_MILLIS / 1000) + 5;
const STEP_MILLIS = 20;

type FleetEvent = Readonly<{atMillis: number; run: (fleet: Fleet) => void}>;
type Fleet = {
	/** Entries that each entry knows. */
	readonly views: Map<string, readonly string[]>;
	readonly frozen: Set<string>;
	limit: number;
};

type Options = Readonly<{entries: number; limit: number; seed: number; durationMillis: number; events?: readonly FleetEvent[]}>;

/** Requests sent to one backend server by entries that would all send more than they may. */
function playFleet({entries: count, limit, seed, durationMillis, events = []}: Options): readonly number[] {
	const clock = createManualClock();
	const random = createSeededRandom(seed);
	const ids = Array.from({length: count}, (_, i) => `e${i}`);
	const fleet: Fleet = {views: new Map(ids.map(id => [id, ids])), frozen: new Set(), limit};
	const limiters = ids.map(self => ({
		self, limiter: createRateLimiter({
			clock, self, limits: {read: () => fleet.limit}, listEntries: () => fleet.views.get(self) ?? [],
		}),
	}));
	const sentAtMillis: number[] = [];
	for (let nowMillis = 0; nowMillis < durationMillis; nowMillis += STEP_MILLIS) {
		clock.advance(STEP_MILLIS);
		for (const event of events.filter(({atMillis}) => atMillis >= nowMillis && atMillis < nowMillis + STEP_MILLIS)) {
			event.run(fleet);
		}

		for (const {limiter} of limiters.filter(({self}) => !fleet.frozen.has(self) && random() < 0.5)) {
			while (limiter.readWaitMillis('s1') === 0) {
				limiter.take('s1');
				sentAtMillis.push(nowMillis);
			}
		}
	}

	return sentAtMillis;
}

function readMaxInWindow(sentAtMillis: readonly number[]): number {
	return Math.max(0, ...sentAtMillis.map((startMillis, i) => sentAtMillis.slice(i).filter(atMillis => atMillis < startMillis + WINDOW_MILLIS).length));
}

const sizes = [1, 2, 7, 34, 99, 350];
const limits = [0, 0.1, 0.5, 1.6, 5, 40];

for (const entries of sizes) {
	for (const limit of limits) {
		void test(`${entries} entries together stay within a limit of ${limit} a second, and use it`, () => {
			const durationMillis = 20_000;
			const sent = playFleet({
				entries, limit, seed: entries, durationMillis,
			});
			assert.ok(readMaxInWindow(sent) <= readBound(limit), `${readMaxInWindow(sent)} requests in a window, ${readBound(limit)} are allowed`);
			assert.ok(sent.length >= (0.8 * limit * durationMillis / 1000) - 1, `${sent.length} requests in ${durationMillis} ms`);
		});
	}
}

const lose = (count: number) => (fleet: Fleet) => {
	const ids = [...fleet.views.keys()];
	for (const id of ids.slice(0, count)) {
		fleet.frozen.add(id);
	}

	for (const id of ids.slice(count)) {
		fleet.views.set(id, ids.slice(count));
	}
};

const disturbances: ReadonlyArray<Readonly<{name: string; events: readonly FleetEvent[]}>> = [
	{name: 'an entry dies, and the others take its part over', events: [{atMillis: 6000, run: lose(1)}]},
	{
		name: 'an entry wakes after a freeze in which the others took its part over, and learns of it late', events: [
			{atMillis: 6000, run: lose(1)},
			{
				atMillis: 12_000, run(fleet) {
					fleet.frozen.clear();
				},
			},
			{
				atMillis: 13_000, run(fleet) {
					for (const id of fleet.views.keys()) {
						fleet.views.set(id, [...fleet.views.keys()]);
					}
				},
			},
		],
	},
	{
		name: 'the limit falls', events: [{
			atMillis: 6000, run(fleet) {
				fleet.limit /= 2;
			},
		}],
	},
];

for (const {name, events} of disturbances) {
	void test(`entries together stay within a limit while ${name}`, () => {
		for (const entries of [3, 7, 34]) {
			for (const limit of [0.5, 1.6, 8]) {
				const sent = playFleet({
					entries, limit, seed: entries, durationMillis: 20_000, events,
				});
				assert.ok(readMaxInWindow(sent) <= readBound(limit), `${entries} entries, limit ${limit}: ${readMaxInWindow(sent)} requests in a window`);
			}
		}
	});
}

void test('an entry that knows no others yet sends nothing to a limited backend server, and one that knows itself alone uses the limit', () => {
	const sentUnjoined = playFleet({
		entries: 1, limit: 2, seed: 1, durationMillis: 10_000, events: [{
			atMillis: 0, run(fleet) {
				fleet.views.set('e0', []);
			},
		}],
	});
	assert.deepEqual(sentUnjoined, []);
	assert.ok(playFleet({
		entries: 1, limit: 2, seed: 1, durationMillis: 10_000,
	}).length >= 18);
});

void test('an unlimited backend server is not limited, and a limit that ends holds nobody back', () => {
	const clock = createManualClock();
	const known: {limit: number | undefined} = {limit: 1};
	const entries = ['e0', 'e1'];
	const limiter = createRateLimiter({
		clock, self: 'e0', limits: {read: () => known.limit}, listEntries: () => entries,
	});
	assert.ok(limiter.readWaitMillis('s1') > 0);
	known.limit = undefined;
	assert.equal(limiter.readWaitMillis('s1'), 0);
	limiter.take('s1');
	assert.equal(limiter.readWaitMillis('s1'), 0);
});

