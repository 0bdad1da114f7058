/** Divides the rate of requests to a backend server among the entries. */
import {scoreNode} from '../caller-routing/rendezvous.js';
import {MIN_HOLDERS, MIN_REQUESTS_PER_SECOND, SHARE_INTERVAL_MILLIS} from './rate-limit-constants.js';

/** Requests that all entries together may send. */
export type SharedRate = Readonly<{
	requestsPerMilli: number;
	/** Requests that may be sent at once after a pause; also the largest number of entries that send any. */
	burst: number;
}>;

/** Part of a rate that one entry may use. */
export type LimitShare = SharedRate & Readonly<{
	/** Place among the entries that have a share, from 0 to below 1. */
	order: number;
}>;

/** Rate that keeps to a stated limit; its burst grows with the limit. */
export function chooseStatedRate(requestsPerSecond: number): SharedRate {
	const requestsPerMilli = Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond) / 1000;
	return {requestsPerMilli, burst: MIN_HOLDERS + Math.floor(requestsPerMilli * SHARE_INTERVAL_MILLIS)};
}

/** Rate that keeps to both limits; undefined if there is neither. */
export function chooseLowerRate(left: SharedRate | undefined, right: SharedRate | undefined): SharedRate | undefined {
	return left && right
		? {requestsPerMilli: Math.min(left.requestsPerMilli, right.requestsPerMilli), burst: Math.min(left.burst, right.burst)}
		: left ?? right;
}

/**
 * Share of an entry in the rate; undefined if the entry is to send nothing. Entries that know the same others come to the same
 * result, and one that joins or leaves changes little. All shares together allow the rate and its burst.
 */
export function chooseLimitShare(server: string, {requestsPerMilli, burst}: SharedRate, {self, entries}: Readonly<{self: string; entries: readonly string[]}>): LimitShare | undefined {
	const holders = Math.min(entries.length, burst);
	const ownScore = scoreNode(server, self);
	const ahead = entries.filter(entry => entry !== self && scoreNode(server, entry) > ownScore).length;
	return entries.includes(self) && ahead < holders
		? {requestsPerMilli: requestsPerMilli / holders, burst: burst / holders, order: ahead / holders}
		: undefined;
}
