/** Request rates that backend servers state as their limits, as the entries have seen them in answers. */
import {crc32} from 'node:zlib';
import type {Clock} from '../../core/clock.js';
import type {Teardown} from '../../core/teardown.js';

/** What a backend server last stated. */
export type StatedLimit = Readonly<{
	server: string;
	/** Start time of the backend server, in milliseconds since 1970. */
	incarnation: number;
	/** Requests that it takes from all entries together; undefined since it stated a limit no longer. */
	requestsPerSecond: number | undefined;
	/** Monotonic time at which an entry saw it. */
	atMillis: number;
}>;

/** An answer of a backend server. */
export type LimitObservation = Readonly<{
	server: string;
	incarnation: number;
	requestsPerSecond: number | undefined;
	/** Monotonic time at which the request was sent. */
	sentAtMillis: number;
}>;

/** Limits of backend servers by id. */
export type StatedLimits = Readonly<{
	/** Records what an answer states. */
	note: (observation: LimitObservation) => void;
	/** Adds what another entry knows; what was seen later holds. */
	merge: (limits: readonly StatedLimit[]) => void;
	/** Limit in force, in requests a second; undefined if there is none. */
	read: (server: string) => number | undefined;
	/** All that is known, limits that ended included. */
	list: () => readonly StatedLimit[];
	/** Hash of the limits in force. */
	readDigest: () => number;
	/** Removes backend servers that are no longer listed or have started again. */
	retain: () => void;
	/** Calls `listener` with each limit that has changed, whether this entry or another saw it first. */
	registerListener: (listener: (limit: StatedLimit) => void) => Teardown;
}>;

type Deps = Readonly<{
	clock: Clock;
	/** Start time of a listed backend server; undefined if it is not listed. */
	readIncarnation: (server: string) => number | undefined;
}>;

const hashLimit = ({server, incarnation, requestsPerSecond}: StatedLimit) => crc32(`${server}|${incarnation}|${requestsPerSecond}`);

/** Creates a record without limits. */
export function createStatedLimits({clock, readIncarnation}: Deps): StatedLimits {
	let limits: ReadonlyMap<string, StatedLimit> = new Map();
	const listeners = new Set<(limit: StatedLimit) => void>();

	function replace(next: StatedLimit): void {
		const before = limits.get(next.server);
		limits = new Map([...limits, [next.server, next]]);
		if (before?.requestsPerSecond !== next.requestsPerSecond) {
			for (const listener of listeners) {
				listener(next);
			}
		}
	}

	const isListed = ({server, incarnation}: Pick<StatedLimit, 'server' | 'incarnation'>) => readIncarnation(server) === incarnation;

	return {
		note({server, incarnation, requestsPerSecond, sentAtMillis}) {
			const known = limits.get(server);
			if (!isListed({server, incarnation}) || (requestsPerSecond === undefined && !known)) {
				return;
			}

			// An answer without a limit may have been written before the backend server first stated one.
			const isOlder = requestsPerSecond === undefined && known !== undefined && sentAtMillis <= known.atMillis;
			if (!isOlder) {
				replace({
					server, incarnation, requestsPerSecond, atMillis: clock.monotonicMillis(),
				});
			}
		},
		merge(added) {
			for (const limit of added) {
				const known = limits.get(limit.server);
				const isNews = known ? limit.atMillis > known.atMillis && limit.requestsPerSecond !== known.requestsPerSecond : limit.requestsPerSecond !== undefined;
				if (isListed(limit) && isNews) {
					replace(limit);
				}
			}
		},
		read: server => limits.get(server)?.requestsPerSecond,
		list: () => [...limits.values()],
		readDigest: () => [...limits.values()].filter(({requestsPerSecond}) => requestsPerSecond !== undefined).reduce((total, limit) => (total + hashLimit(limit)) % (2 ** 32), 0),
		retain() {
			limits = new Map([...limits].filter(([, limit]) => isListed(limit)));
		},
		registerListener(listener) {
			listeners.add(listener);
			return () => {
				listeners.delete(listener);
			};
		},
	};
}
