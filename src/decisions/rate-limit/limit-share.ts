/** Divides the limit of a backend server among the entries. */
import {scoreNode} from '../caller-routing/rendezvous.js';
import {MIN_HOLDERS, MIN_REQUESTS_PER_SECOND, SHARE_INTERVAL_MILLIS} from './rate-limit-constants.js';

/** Part of a limit that one entry may use. */
export type LimitShare = Readonly<{
	requestsPerMilli: number;
	/** Requests that may be sent at once after a pause. */
	burst: number;
}>;

/**
 * Share of an entry in the limit; undefined if the entry is to send nothing. Entries that know the same others come to the same
 * result, and one that joins or leaves changes little. All shares together allow the limit, and a burst that grows with it.
 */
export function chooseLimitShare(server: string, requestsPerSecond: number, {self, entries}: Readonly<{self: string; entries: readonly string[]}>): LimitShare | undefined {
	const requestsPerMilli = Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond) / 1000;
	const totalBurst = MIN_HOLDERS + Math.floor(requestsPerMilli * SHARE_INTERVAL_MILLIS);
	const holders = Math.min(entries.length, totalBurst);
	if (holders < entries.length) {
		const ownScore = scoreNode(server, self);
		const ahead = entries.filter(entry => entry !== self && scoreNode(server, entry) > ownScore).length;
		if (ahead >= holders) {
			return undefined;
		}
	}

	return entries.includes(self) ? {requestsPerMilli: requestsPerMilli / holders, burst: totalBurst / holders} : undefined;
}
