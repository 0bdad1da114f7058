/**
 * Keeps the rate of requests to backend servers that state a limit, or are cold, within the lower limit, summed over all entries. Load
 * pattern: one or more of many equal backend servers take less than their part of the traffic, which arrives evenly at all entries.
 */
import type {Clock} from '../../core/clock.js';
import type {ColdEngines} from './cold-engines.js';
import {
	chooseLimitShare, chooseLowerRate, chooseStatedRate, type LimitShare, type SharedRate,
} from './limit-share.js';
import type {StatedLimits} from './stated-limits.js';

/** Permits to send requests to backend servers. */
export type RateLimiter = Readonly<{
	/** Time until a request may be sent to the backend server, in milliseconds: 0 if it may be sent now, infinite if other entries use the limit. */
	readWaitMillis: (server: string) => number;
	/** Takes the right to send one request; called when {@link readWaitMillis} has returned 0. */
	take: (server: string) => void;
	/** Removes backend servers that are no longer listed. */
	retain: (isListed: (server: string) => boolean) => void;
}>;

type Deps = Readonly<{
	clock: Clock;
	/** Id of this entry. */
	self: string;
	limits: Pick<StatedLimits, 'read'>;
	/** Rates for cold engines; optional. */
	coldEngines?: Pick<ColdEngines, 'readRate'>;
	/** Entries that share the limits, this one included; the same array until they change, and empty while they are not known. */
	listEntries: () => readonly string[];
}>;

type Bucket = Readonly<{
	rate: SharedRate;
	entries: readonly string[];
	share: LimitShare | undefined;
	tokens: number;
	atMillis: number;
}>;

/** Creates a limiter that has sent nothing. */
export function createRateLimiter({clock, self, limits, coldEngines, listEntries}: Deps): RateLimiter {
	const buckets = new Map<string, Bucket>();

	/**
	 * Tokens of an entry that sees a limit for the first time. Those of a cold engine are in stages, so that the entries do not wait for
	 * their first tokens all for the same time, and then send together.
	 */
	function chooseFirstTokens(server: string, share: LimitShare | undefined): number {
		return share && coldEngines?.readRate(server) ? share.order : 0;
	}

	/** Refills the bucket of a backend server; one whose share has begun now is empty, as the former holder may just have used it. */
	function refill(server: string, rate: SharedRate): Bucket {
		const entries = listEntries();
		const nowMillis = clock.monotonicMillis();
		const known = buckets.get(server);
		const isCurrent = known?.rate.requestsPerMilli === rate.requestsPerMilli && known.rate.burst === rate.burst && known.entries === entries;
		const share = isCurrent ? known.share : chooseLimitShare(server, rate, {self, entries});
		const earned = known?.share ? known.tokens + (known.share.requestsPerMilli * (nowMillis - known.atMillis)) : 0;
		const tokens = known ? earned : chooseFirstTokens(server, share);
		const bucket: Bucket = {
			rate, entries, share, tokens: Math.min(share?.burst ?? 0, tokens), atMillis: nowMillis,
		};
		buckets.set(server, bucket);
		return bucket;
	}

	function findBucket(server: string): Bucket | undefined {
		const limit = limits.read(server);
		const rate = chooseLowerRate(limit === undefined ? undefined : chooseStatedRate(limit), coldEngines?.readRate(server));
		if (!rate) {
			buckets.delete(server);
			return undefined;
		}

		return refill(server, rate);
	}

	return {
		readWaitMillis(server) {
			const bucket = findBucket(server);
			if (!bucket) {
				return 0;
			}

			return bucket.share ? Math.max(0, (1 - bucket.tokens) / bucket.share.requestsPerMilli) : Infinity;
		},
		take(server) {
			const bucket = findBucket(server);
			if (bucket) {
				buckets.set(server, {...bucket, tokens: bucket.tokens - 1});
			}
		},
		retain(isListed) {
			for (const server of buckets.keys()) {
				if (!isListed(server)) {
					buckets.delete(server);
				}
			}
		},
	};
}
