import type {RandomSource} from '../random.js';
import {addEvent, emptyCount, readRate} from './decayed-rate.js';

/** Width of the time buckets in which arrivals and retries are counted. */
const BUCKET_MILLIS = 1000;
/** Buckets of arrivals from which the usual load is computed. */
const HISTORY_BUCKETS = 60;
/** Shortest time after which a refused caller is told to retry. */
const MIN_RETRY_AFTER_MILLIS = 1000;
/** Minimum expected remaining time of an overload; one that has lasted longer is expected to last as long again. */
const MIN_OVERLOAD_MILLIS = 10_000;
/** Ratio of arrivals to capacity above which there is an overload. */
const OVERLOAD_FACTOR = 1.1;
/** Time constant of the arrival rate used to detect an overload. */
const RECENT_TIME_CONSTANT_MILLIS = 1000;
/** Time without signs of overload after which it is considered over. */
const OVERLOAD_END_MILLIS = 3000;
/** Longest time after which a refused caller is told to retry. */
const MAX_RETRY_AFTER_MILLIS = 240_000;
/** Share of the capacity that usual load and retries together may use. */
const USABLE_CAPACITY_SHARE = 0.93;
/** Share of the capacity reserved for retries when the usual load leaves none. */
const MIN_SPARE_CAPACITY_SHARE = 0.02;
/** Width of the jitter added to a retry time. */
const JITTER_MILLIS = 1000;

/** Schedules the retries of refused callers, so that they find spare capacity and do not retry in step. */
export type RetryScheduler = Readonly<{
	/** Counts a request for admission. */
	noteArrival: (nowMillis: number) => void;
	/** Schedules the next retry and returns the time until then, in milliseconds. `completionRate` is in requests per millisecond. */
	scheduleRetry: (nowMillis: number, completionRate: number) => number;
}>;

function median(values: readonly number[]): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

function addToBucket(buckets: Map<number, number>, bucket: number): void {
	buckets.set(bucket, (buckets.get(bucket) ?? 0) + 1);
}

function dropBucketsBefore(buckets: Map<number, number>, bucket: number): void {
	for (const key of buckets.keys()) {
		if (key < bucket) {
			buckets.delete(key);
		}
	}
}

/** Creates a scheduler without retries. */
export function createRetryScheduler(random: RandomSource): RetryScheduler {
	const arrivals = new Map<number, number>();
	const retries = new Map<number, number>();
	let nextRetryAtMillis = -Infinity;
	let firstBucket: number | undefined;
	let recent = emptyCount;
	let overload: Readonly<{sinceMillis: number; seenAtMillis: number}> | undefined;

	/** Usual arrivals per millisecond, retries excluded: the median, which a short burst does not move. */
	function readUsualRate(nowMillis: number): number {
		const current = Math.floor(nowMillis / BUCKET_MILLIS);
		const from = Math.max(firstBucket ?? current, current - HISTORY_BUCKETS);
		const firstRequests: number[] = [];
		for (let bucket = from; bucket < current; bucket++) {
			firstRequests.push(Math.max(0, (arrivals.get(bucket) ?? 0) - (retries.get(bucket) ?? 0)));
		}

		return median(firstRequests) / BUCKET_MILLIS;
	}

	function readSpareRate(nowMillis: number, completionRate: number): number {
		const spare = (completionRate * USABLE_CAPACITY_SHARE) - readUsualRate(nowMillis);
		return Math.max(spare, completionRate * MIN_SPARE_CAPACITY_SHARE);
	}

	function updateOverload(nowMillis: number, completionRate: number): void {
		if (readRate(recent, nowMillis, RECENT_TIME_CONSTANT_MILLIS) > completionRate * OVERLOAD_FACTOR) {
			overload = {sinceMillis: overload?.sinceMillis ?? nowMillis, seenAtMillis: nowMillis};
		} else if (overload && nowMillis - overload.seenAtMillis > OVERLOAD_END_MILLIS) {
			overload = undefined;
		}
	}

	/** Earliest time until a retry can succeed: after the expected end of the overload, if there is one. */
	function readMinDelayMillis(nowMillis: number): number {
		return overload ? Math.max(MIN_OVERLOAD_MILLIS, nowMillis - overload.sinceMillis) : MIN_RETRY_AFTER_MILLIS;
	}

	function chooseRetryAtMillis(nowMillis: number, completionRate: number): number {
		const spareRate = readSpareRate(nowMillis, completionRate);
		const next = Math.max(nowMillis + readMinDelayMillis(nowMillis), nextRetryAtMillis) + (1 / spareRate);
		if (next - nowMillis > MAX_RETRY_AFTER_MILLIS) {
			return nowMillis + (MAX_RETRY_AFTER_MILLIS * (0.5 + (random() * 0.5)));
		}

		nextRetryAtMillis = next;
		return next + (random() * JITTER_MILLIS);
	}

	return {
		noteArrival(nowMillis) {
			const bucket = Math.floor(nowMillis / BUCKET_MILLIS);
			firstBucket ??= bucket;
			recent = addEvent(recent, nowMillis, RECENT_TIME_CONSTANT_MILLIS);
			addToBucket(arrivals, bucket);
			dropBucketsBefore(arrivals, bucket - HISTORY_BUCKETS);
			dropBucketsBefore(retries, bucket - HISTORY_BUCKETS);
		},
		scheduleRetry(nowMillis, completionRate) {
			updateOverload(nowMillis, completionRate);
			const retryAtMillis = chooseRetryAtMillis(nowMillis, completionRate);
			addToBucket(retries, Math.floor(retryAtMillis / BUCKET_MILLIS));
			return Math.ceil(retryAtMillis - nowMillis);
		},
	};
}
