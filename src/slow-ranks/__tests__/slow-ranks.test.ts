import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createManualClock} from '../../core/manual-clock.js';
import {fail, succeed} from '../../core/result.js';
import type {GroupState} from '../../map-switch/group-ranks.js';
import {silentLog} from '../../observability/log.js';
import type {TableStore} from '../../ports/table-store.js';
import {chooseSlowRanks} from '../choose-slow-ranks.js';
import {createSlowRankList} from '../slow-rank-list.js';
import {createSlowRankPublisher} from '../slow-rank-publisher.js';
import {SLOW_RANK_RENEWAL_MILLIS, SLOW_RANK_TTL_MILLIS} from '../slow-rank-row.js';

const RANKS = 16;
const CONTACT = {storeMillis: 0, isAfterOutage: false};

function createFactors(slow: Readonly<Record<number, number>>): readonly number[] {
	return Array.from({length: RANKS}, (_, rank) => slow[rank] ?? 1);
}

function createState(slow: Readonly<Record<number, number>>, epoch = 1): GroupState {
	return {
		epoch,
		size: RANKS,
		ranks: createFactors(slow).map((slowFactor, rank) => ({
			group: {
				name: 'g', rank, size: RANKS, epoch, isOpen: true,
			},
			step: 1,
			mapVersion: 0,
			preparedVersion: undefined,
			armed: undefined,
			heldStep: undefined,
			slowFactor,
			hasWork: true,
		})),
	};
}

void test('ranks that are 1.6 to 12 times slower get no requests, a small scatter is ignored, and one that recovers does not flap', () => {
	assert.deepEqual(chooseSlowRanks(createFactors({3: 12, 7: 1.6, 9: 1.1}), []), [3, 7]);
	assert.deepEqual(chooseSlowRanks(createFactors({3: 1.3}), []), []);
	assert.deepEqual(chooseSlowRanks(createFactors({3: 1.3}), [3]), [3]);
	assert.deepEqual(chooseSlowRanks(createFactors({3: 1.1}), [3]), []);
});

void test('when many ranks are slow, only the slowest are left out, so that the others are not overloaded', () => {
	const factors = Array.from({length: RANKS}, (_, rank) => 2 + rank);
	assert.deepEqual(chooseSlowRanks(factors, []), [12, 13, 14, 15]);
	assert.deepEqual(chooseSlowRanks([3, 3, 1], []), [], 'a small group keeps all ranks');
});

/** A publisher and a list, connected by a fake store that can be unavailable. */
function createPair() {
	const clock = createManualClock();
	const list = createSlowRankList({clock, log: silentLog});
	let isAway = false;
	let writes = 0;
	const table: Pick<TableStore, 'transact'> = {
		async transact({writes: [write]}) {
			if (isAway) {
				return fail({tag: 'unavailable', detail: 'outage'});
			}

			writes++;
			list.listener.onChanges([{key: write?.key ?? '', text: JSON.stringify(write?.value), version: writes}], CONTACT);
			return succeed([]);
		},
	};
	const publisher = createSlowRankPublisher({
		clock, log: silentLog, table, group: 'g',
	});
	return {
		clock,
		list,
		publisher,
		countWrites: () => writes,
		setAway(next: boolean) {
			isAway = next;
		},
		isSlow: (rank: number, epoch = 1) => list.isSlow(createState({}, epoch).ranks[rank]?.group),
	};
}

void test('entries learn of a slow rank and of its recovery by one write each, and of nothing while no rank is slow', async () => {
	const {clock, publisher, countWrites, isSlow, list} = createPair();
	let changes = 0;
	const stop = list.registerListener(() => {
		changes++;
	});
	for (let millis = 0; millis < 2000; millis += 250) {
		const state = createState(millis >= 500 && millis < 1500 ? {3: 12} : {});
		// eslint-disable-next-line no-await-in-loop -- Readings are sequential.
		await publisher.publish(state);
		assert.equal(isSlow(3), millis >= 500 && millis < 1500, `${millis} ms`);
		clock.advance(250);
	}

	stop();
	assert.equal(countWrites(), 2);
	assert.equal(changes, 2);
	assert.equal(list.isSlow(undefined), false, 'a plain service has no ranks');
});

void test('a slow rank is written once the store is back, again while it lasts, and forgotten when its planner has stopped', async () => {
	const {clock, publisher, setAway, isSlow, countWrites} = createPair();
	setAway(true);
	await publisher.publish(createState({3: 12}));
	assert.equal(isSlow(3), false);
	setAway(false);
	await publisher.publish(createState({3: 12}));
	assert.equal(isSlow(3), true);
	clock.advance(SLOW_RANK_RENEWAL_MILLIS);
	await publisher.publish(createState({3: 12}));
	assert.equal(countWrites(), 2);
	clock.advance(SLOW_RANK_TTL_MILLIS - 1);
	assert.equal(isSlow(3), true);
	clock.advance(1);
	assert.equal(isSlow(3), false, 'no planner renews it');
});

void test('slow ranks do not count in another epoch of the group, whose ranks may be other engines, nor does a row that can\'t be read', async () => {
	const {publisher, isSlow, list} = createPair();
	await publisher.publish(createState({3: 12}));
	assert.equal(isSlow(3, 2), false);
	list.listener.onChanges([{key: 'g', text: 'torn', version: 9}], CONTACT);
	assert.equal(isSlow(3), false);
});
