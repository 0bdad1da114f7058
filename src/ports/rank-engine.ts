/** An engine of a lock-step rank group whose expert map is changed by separate orders. */
import type {Result} from '../core/result.js';
import type {RankGroupMembership} from '../gateway/backend-server.js';

/** Experts that a rank holds, layer by layer. */
export type RankExperts = ReadonlyArray<readonly number[]>;

/** Experts of all ranks: by layer, then by rank. */
export type GroupExperts = ReadonlyArray<ReadonlyArray<readonly number[]>>;

/** State of one rank. */
export type RankState = Readonly<{
	group: RankGroupMembership;
	/** Last pass that was started; an idle group starts none. */
	step: number;
	/** Version of the expert map in force; 0 is the initial map of a group. */
	mapVersion: number;
	/** Version whose experts have been copied to the rank; undefined when there is none. */
	preparedVersion: number | undefined;
	/** Version that takes effect when pass `step` starts; undefined when there is none. */
	armed: Readonly<{version: number; step: number}> | undefined;
	/** Pass that the group does not start until it is released; undefined when there is none. */
	heldStep: number | undefined;
	/** Time that the rank takes for its own part of a pass, divided by the usual time; above 1 when it is slow. */
	slowFactor: number;
	/** Whether the rank has running or waiting requests. */
	hasWork: boolean;
}>;

/** State of one rank with its load. */
export type RankLoad = Readonly<{
	state: RankState;
	/** How often each expert was selected since the engine started, as one list ordered by layer. */
	counts: readonly number[];
}>;

/** An order that concerns the expert map. */
export type RankOrder
	/** Copy the experts that the rank does not have yet. */
	= | Readonly<{
		tag: 'prepare';
		version: number;
		experts: GroupExperts;
		/** A map that the rank probably knows; where the order is sent over the network, only the differences to it need to be. */
		base?: GroupExperts;
	}>
		/** Switch to a prepared version when pass `step` starts. */
	| Readonly<{tag: 'arm'; version: number; step: number}>
	| Readonly<{tag: 'disarm'; version: number}>
		/** Do not start pass `step` until a `go` order names it. */
	| Readonly<{tag: 'hold'; step: number}>
	| Readonly<{tag: 'go'; step: number}>;

/** Outcome of an order. `accepted`: it has begun; `done`: it has been executed; `unknown`: it may have been executed, or may be executed later. */
export type OrderOutcome = Readonly<{tag: 'accepted' | 'done' | 'refused' | 'unknown'; detail: string}>;

/** Failure of a read. */
export type RankReadError = Readonly<{tag: 'unavailable'; detail: string}>;

/** Access to one rank. Each call has a timeout and is never retried internally. */
export type RankEngine = Readonly<{
	readState: () => Promise<Result<RankState, RankReadError>>;
	readLoad: () => Promise<Result<RankLoad, RankReadError>>;
	/** Experts of this rank in the map in force. */
	readExperts: () => Promise<Result<RankExperts, RankReadError>>;
	/** The engine refuses an order whose epoch is not that of its group. */
	order: (order: RankOrder, epoch: number) => Promise<OrderOutcome>;
}>;
