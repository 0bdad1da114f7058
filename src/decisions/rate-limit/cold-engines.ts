/**
 * Tells which engines are cold, and the rate of requests that all entries together may send to one. Load pattern: an engine, or a
 * whole failure domain, starts anew; to all entries it looks idle at the same moment, and a rate far above its limit crashes it.
 */
import type {Clock} from '../../core/clock.js';
import type {SharedRate} from './limit-share.js';
import {
	COLD_BURST_SHARE, COLD_WINDOW_MILLIS, MAX_RATE_OF_SPLIT_ENTRIES, MIN_REQUESTS_PER_SECOND,
} from './rate-limit-constants.js';

/** Cold engines of one service. */
export type ColdRule = Readonly<{
	/** Time for which an engine is cold after its start, in milliseconds. */
	coldMillis: number;
	/** Requests that a cold engine takes. */
	requestsPerSecond: number;
}>;

/** Bound on the requests to a cold engine in any one second: its rate times `overage`, and `slack`. */
export type ColdBounds = Readonly<{overage: number; slack: number}>;

/** What an engine's list entry says. */
export type ListedEngine = Readonly<{
	service: string;
	/** Start time in milliseconds since 1970. */
	incarnation: number;
	/** Number of the entry since the start. */
	sequence: number;
	coldLeftMillis: number;
}>;

/** Cold engines by id. */
export type ColdEngines = Readonly<{
	/** Takes over the list entries; those known already change nothing. */
	update: (engines: ReadonlyMap<string, ListedEngine>) => void;
	/** Takes note that an engine accepted no connection: once it accepts one, it may have started anew without its entry being known. */
	noteUnreachable: (engine: string) => void;
	/** Rate in force; undefined if the engine is warm. */
	readRate: (engine: string) => SharedRate | undefined;
	/** Time for which an engine still counts as cold, in milliseconds. */
	readLeftMillis: (engine: string) => number;
	/** Ids of the cold engines. */
	list: () => readonly string[];
}>;

type Deps = Readonly<{
	clock: Clock;
	/** Undefined if there are no bounds to keep. */
	bounds: ColdBounds | undefined;
	/** Rule of a service; undefined if its engines are never cold. */
	readRule: (service: string) => ColdRule | undefined;
}>;

type KnownEngine = ListedEngine & Readonly<{
	/** Monotonic time at which the entry was read. */
	readAtMillis: number;
	/** Age of the engine when it was first listed to this process; undefined since a later entry, which tells its state. */
	firstAgeMillis: number | undefined;
}>;

/** Rate for a cold engine, whose sum over entries that know of each other or not stays within the bound in any one second. */
export function chooseColdRate(requestsPerSecond: number, {overage, slack}: ColdBounds): SharedRate {
	const allowed = ((requestsPerSecond * overage) + slack) / MAX_RATE_OF_SPLIT_ENTRIES;
	const burst = Math.max(1, Math.floor(allowed * COLD_BURST_SHARE));
	const requestsPerMilli = Math.min(requestsPerSecond / 1000, (allowed - burst) / COLD_WINDOW_MILLIS);
	return {requestsPerMilli: Math.max(MIN_REQUESTS_PER_SECOND / 1000, requestsPerMilli), burst};
}

/** Creates a record without engines. */
export function createColdEngines({clock, bounds, readRule}: Deps): ColdEngines {
	let engines: ReadonlyMap<string, KnownEngine> = new Map();
	/** Monotonic time at which an engine last accepted no connection. */
	const unreachableAtMillis = new Map<string, number>();

	function note(known: KnownEngine | undefined, listed: ListedEngine): KnownEngine {
		if (known?.incarnation === listed.incarnation && known.sequence === listed.sequence) {
			return known;
		}

		return {
			...listed,
			readAtMillis: clock.monotonicMillis(),
			firstAgeMillis: known?.incarnation === listed.incarnation ? undefined : clock.now().getTime() - listed.incarnation,
		};
	}

	function findRule(service: string): ColdRule | undefined {
		const rule = bounds && readRule(service);
		return rule && rule.requestsPerSecond > 0 ? rule : undefined;
	}

	/** Time for which an engine was cold when its entry was read; how old the entry was then is not known. */
	function readColdMillis({coldLeftMillis, firstAgeMillis}: KnownEngine, {coldMillis}: ColdRule): number {
		const isUnknown = firstAgeMillis !== undefined && (coldLeftMillis > 0 || firstAgeMillis < coldMillis);
		return isUnknown ? Math.max(coldLeftMillis, coldMillis) : coldLeftMillis;
	}

	function readLeftMillis(id: string): number {
		const engine = engines.get(id);
		const rule = engine && findRule(engine.service);
		if (!rule) {
			return 0;
		}

		const untilMillis = Math.max(engine.readAtMillis + readColdMillis(engine, rule), (unreachableAtMillis.get(id) ?? -Infinity) + rule.coldMillis);
		return Math.max(0, untilMillis - clock.monotonicMillis());
	}

	return {
		update(listed) {
			engines = new Map([...listed].map(([id, engine]) => [id, note(engines.get(id), engine)]));
			for (const id of unreachableAtMillis.keys()) {
				if (!engines.has(id)) {
					unreachableAtMillis.delete(id);
				}
			}
		},
		noteUnreachable(id) {
			if (engines.has(id)) {
				unreachableAtMillis.set(id, clock.monotonicMillis());
			}
		},
		readRate(id) {
			const engine = engines.get(id);
			const rule = engine && findRule(engine.service);
			return rule && bounds && readLeftMillis(id) > 0 ? chooseColdRate(rule.requestsPerSecond, bounds) : undefined;
		},
		readLeftMillis,
		list: () => [...engines.keys()].filter(id => readLeftMillis(id) > 0),
	};
}
