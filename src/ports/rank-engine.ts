/** An engine of a lock-step rank group that takes a new expert map by separate orders. */
import type {Result} from '../core/result.js';
import type {RankGroupMembership} from '../gateway/backend-server.js';

/** Experts that a rank holds, layer by layer. */
export type RankExperts = ReadonlyArray<readonly number[]>;

/** Experts of all ranks: by layer, then by rank. */
export type GroupExperts = ReadonlyArray<ReadonlyArray<readonly number[]>>;

/** State of one rank. */
export type RankState = Readonly<{
	group: RankGroupMembership;
	/** Last pass that was begun; an idle group begins none. */
	step: number;
	/** Version of the map in force; 0 is the one that a group forms with. */
	mapVersion: number;
	/** Version whose experts are copied; undefined when there is none. */
	preparedVersion: number | undefined;
	/** Version that takes force as a pass begins; undefined when there is none. */
	armed: Readonly<{version: number; step: number}> | undefined;
	/** Pass that the group does not begin until it is released; undefined when there is none. */
	heldStep: number | undefined;
	/** Time of its own part of a pass over the usual one. */
	slowFactor: number;
	/** Whether it has requests, running or waiting. */
	hasWork: boolean;
}>;

/** State of one rank with its load. */
export type RankLoad = Readonly<{
	state: RankState;
	/** How often each expert was chosen since the engine started, layer by layer in one list. */
	counts: readonly number[];
}>;

/** One order about the expert map. */
export type RankOrder
	/** Copy the experts that the rank lacks. */
	= | Readonly<{tag: 'prepare'; version: number; experts: GroupExperts}>
	/** Switch to a prepared version as a pass begins. */
		| Readonly<{tag: 'arm'; version: number; step: number}>
		| Readonly<{tag: 'disarm'; version: number}>
	/** Do not begin a pass until `go` names it. */
		| Readonly<{tag: 'hold'; step: number}>
		| Readonly<{tag: 'go'; step: number}>;

/** What became of an order. `unknown`: it may be carried out, now or later. */
export type OrderOutcome = Readonly<{tag: 'accepted' | 'refused' | 'unknown'; detail: string}>;

/** A read that gave nothing. */
export type RankReadError = Readonly<{tag: 'unavailable'; detail: string}>;

/** Access to one rank. Each call has a timeout and is never repeated inside. */
export type RankEngine = Readonly<{
	readState: () => Promise<Result<RankState, RankReadError>>;
	readLoad: () => Promise<Result<RankLoad, RankReadError>>;
	/** Experts in force at this rank. */
	readExperts: () => Promise<Result<RankExperts, RankReadError>>;
	/** The engine refuses an order of another epoch than its group's. */
	order: (order: RankOrder, epoch: number) => Promise<OrderOutcome>;
}>;
