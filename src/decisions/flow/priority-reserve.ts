/**
 * Keeps permits free for more urgent requests while a burst of less urgent ones would take them all: a permit is held for
 * seconds, so that an urgent request that arrives behind such a burst would miss its latency target. The reserve is what the
 * measured arrival rate and hold time of the more urgent requests call for, less what will be released in time anyway.
 */
import {sum} from '../sum.js';
import {
	addEvent, emptyCount, readRate, type DecayedCount,
} from '../admission/decayed-rate.js';
import {
	ARRIVAL_RATE_TIME_CONSTANT_MILLIS, HOLD_TIME_WEIGHT, MAX_RESERVED_SHARE, STARVATION_BOUND_MILLIS,
} from './flow-constants.js';

/** Permits of one service that are reserved for requests of higher priority; 0 is the most urgent priority. */
export type PriorityReserve = Readonly<{
	/** Records a request that may wait for a permit for `maxWaitMillis`. */
	noteArrival: (priority: number, maxWaitMillis: number, nowMillis: number) => void;
	noteGrant: (priority: number, nowMillis: number) => void;
	noteRelease: (priority: number, heldMillis: number) => void;
	/** Permits out of `limit` that a request of this priority must leave free. */
	read: (priority: number, limit: number, nowMillis: number) => number;
	/** Whether requests of this priority have been without a permit for longer than the starvation bound. */
	isOverdue: (priority: number, nowMillis: number) => boolean;
	/** Expected time until `backlog` waiting requests and the more urgent ones that arrive meanwhile have got a permit, in milliseconds. */
	estimateServedMillis: (priority: number, backlog: number, limit: number, nowMillis: number) => number;
}>;

/** What is measured of one priority. */
type PriorityRecord = {
	arrivals: DecayedCount;
	arrivedAtMillis: number;
	inFlight: number;
	meanHoldMillis: number;
	meanMaxWaitMillis: number;
	/** Arrival of the first request since the last grant; undefined when there was none. */
	ungrantedSinceMillis: number | undefined;
};

function updateMean(mean: number, value: number): number {
	return mean === 0 ? value : mean + ((value - mean) * HOLD_TIME_WEIGHT);
}

/** Creates a reserve without measurements. */
export function createPriorityReserve(): PriorityReserve {
	const records = new Map<number, PriorityRecord>();

	function readRecord(priority: number): PriorityRecord {
		const known = records.get(priority);
		if (known) {
			return known;
		}

		const record: PriorityRecord = {
			arrivals: emptyCount, arrivedAtMillis: 0, inFlight: 0, meanHoldMillis: 0, meanMaxWaitMillis: 0, ungrantedSinceMillis: undefined,
		};
		records.set(priority, record);
		return record;
	}

	function listMoreUrgent(priority: number): readonly PriorityRecord[] {
		return [...records].filter(([other]) => other < priority).map(([, record]) => record);
	}

	/** Arrivals per millisecond. */
	function readArrivalRate({arrivals}: PriorityRecord, nowMillis: number): number {
		return readRate(arrivals, nowMillis, ARRIVAL_RATE_TIME_CONSTANT_MILLIS);
	}

	/** Permits released per millisecond while `inFlight` are held. */
	function readReleaseRate(inFlight: number): number {
		const total = sum([...records.values()].map(record => record.inFlight));
		const meanHoldMillis = total === 0 ? 0 : sum([...records.values()].map(record => record.inFlight * record.meanHoldMillis)) / total;
		return meanHoldMillis === 0 ? Infinity : inFlight / meanHoldMillis;
	}

	return {
		noteArrival(priority, maxWaitMillis, nowMillis) {
			const record = readRecord(priority);
			if (nowMillis - record.arrivedAtMillis > STARVATION_BOUND_MILLIS) {
				record.ungrantedSinceMillis = undefined;
			}

			record.arrivals = addEvent(record.arrivals, nowMillis, ARRIVAL_RATE_TIME_CONSTANT_MILLIS);
			record.arrivedAtMillis = nowMillis;
			record.meanMaxWaitMillis = updateMean(record.meanMaxWaitMillis, maxWaitMillis);
			record.ungrantedSinceMillis ??= nowMillis;
		},
		noteGrant(priority) {
			const record = readRecord(priority);
			record.inFlight++;
			record.ungrantedSinceMillis = undefined;
		},
		noteRelease(priority, heldMillis) {
			const record = readRecord(priority);
			record.inFlight--;
			record.meanHoldMillis = updateMean(record.meanHoldMillis, heldMillis);
		},
		read(priority, limit, nowMillis) {
			const urgent = listMoreUrgent(priority);
			const missing = sum(urgent.map(record => (readArrivalRate(record, nowMillis) * record.meanHoldMillis) - record.inFlight));
			if (missing <= 0) {
				return 0;
			}

			const waitMillis = Math.min(...urgent.filter(({meanMaxWaitMillis}) => meanMaxWaitMillis > 0).map(record => record.meanMaxWaitMillis));
			const inFlight = sum([...records.values()].map(record => record.inFlight));
			const arrivalRate = sum(urgent.map(record => readArrivalRate(record, nowMillis)));
			const released = inFlight === 0 ? 0 : Math.max(0, readReleaseRate(inFlight) - arrivalRate) * waitMillis;
			return Math.min(Math.max(0, missing - released), Math.max(0, limit - 1) * MAX_RESERVED_SHARE);
		},
		isOverdue(priority, nowMillis) {
			const sinceMillis = records.get(priority)?.ungrantedSinceMillis;
			return sinceMillis !== undefined && nowMillis - sinceMillis > STARVATION_BOUND_MILLIS;
		},
		estimateServedMillis(priority, backlog, limit, nowMillis) {
			const urgentRate = sum(listMoreUrgent(priority).map(record => readArrivalRate(record, nowMillis)));
			const spareRate = readReleaseRate(limit) - urgentRate;
			return spareRate > 0 ? backlog / spareRate : Infinity;
		},
	};
}
