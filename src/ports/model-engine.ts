import type {AttemptId} from '../core/ids.js';
import type {Result} from '../core/result.js';

/** Expert in each slot: `slots[rank * slotsPerRank + i]` is the expert in slot `i` of a rank, -1 for an empty slot. */
export type LayerMap = Readonly<{slotsPerRank: number; slots: readonly number[]}>;

/** Placement of the experts of all layers of a group. */
export type ExpertMap = Readonly<{layers: readonly LayerMap[]}>;

/** A request for a streamed answer. */
export type StreamRequest = Readonly<{
	attemptId: AttemptId;
	prompt: string;
	maxTokens: number;
	/** A larger value is a higher priority. */
	priority: number;
	/** Index of the first token to send; greater than 0 for a resumed answer. */
	offset: number;
}>;

/** Consecutive tokens of an answer, starting at `offset`. */
export type TokenPiece = Readonly<{offset: number; tokens: readonly string[]}>;

/** The last item of a complete stream. */
export type StreamEnd = Readonly<{count: number}>;

/** An item of a stream: any number of pieces, then one end. */
export type StreamItem
	= | Readonly<{tag: 'piece'; piece: TokenPiece}>
		| Readonly<{tag: 'end'; end: StreamEnd}>;

/** Failure of a call to the engine. */
export type EngineError
	/** The call failed before any byte was written. */
	= | Readonly<{tag: 'not_sent'; detail: string}>
		/** The engine refused the call and did nothing. */
		| Readonly<{tag: 'refused'; reason: string}>
		/** The call was sent, but no complete answer arrived. */
		| Readonly<{tag: 'no_answer'; detail: string}>;

/** A promise of the engine not to run step `fromStep` before it knows the outcome of `epoch`. */
export type Hold = Readonly<{epoch: number; fromStep: number}>;

/** State of the engine and of its rank. */
export type EngineState = Readonly<{
	/** Changes when the rank group restarts. */
	groupIncarnation: string;
	/** Step that the rank runs next. */
	step: number;
	mapEpoch: number;
	map: ExpertMap;
	hold: Hold | undefined;
	/** Released epochs; the engine accepts no further hold for them. */
	releasedEpochs: readonly number[];
	running: number;
	queued: number;
	/** Age of this report in milliseconds. */
	ageMillis: number;
	stepMillis: number;
	tokensPerSecond: number;
	/** Number of tokens routed to each expert since the group started, one list per layer. */
	tokensPerExpert: ReadonlyArray<readonly number[]>;
}>;

/** A prompt prefix was added to the engine's cache or evicted from it. */
export type CacheEvent = Readonly<{sequence: number; prefixDigest: string; evicted: boolean}>;

/** An order to the engine. Engines that check fencing tokens refuse one that is lower than any seen before. */
export type EngineOrder
	= | Readonly<{tag: 'load_experts'; epoch: number; map: ExpertMap}>
		| Readonly<{tag: 'hold'; epoch: number; fromStep: number}>
		/**
		 * Forbids a hold for this epoch permanently.
		 *
		 * Refused with reason `held` while the engine holds the epoch, and with `taken` after it has taken its map. The
		 * engine checks and forbids atomically: a late order must not end a hold that was placed before it arrived.
		 */
		| Readonly<{tag: 'forbid'; epoch: number}>
		/** Ends the hold for this epoch and forbids another one permanently. Refused with reason `taken` after the map was taken. */
		| Readonly<{tag: 'release'; epoch: number}>
		/** Ends the hold of a committed epoch: the map takes effect from the step of the hold on. */
		| Readonly<{tag: 'take_map'; epoch: number; map: ExpertMap; fromStep: number}>
		| Readonly<{tag: 'load_model' | 'load_adapter'; name: string; version: string}>
		| Readonly<{tag: 'change_role'; role: string}>;

/** The model engine next to this agent. */
export type ModelEngine = {
	readonly stream: (req: StreamRequest, signal: AbortSignal) => AsyncIterable<Result<StreamItem, EngineError>>;
	readonly cancel: (attemptId: AttemptId) => Promise<Result<void, EngineError>>;
	readonly readState: () => Promise<Result<EngineState, EngineError>>;
	readonly readCacheEvents: (afterSequence: number) => Promise<Result<readonly CacheEvent[], EngineError>>;
	readonly order: (order: EngineOrder, fencingToken: number) => Promise<Result<void, EngineError>>;
	/** Returns the state of a running stream, for import into another engine. */
	readonly exportStream: (attemptId: AttemptId) => Promise<Result<Uint8Array, EngineError>>;
	readonly importStream: (attemptId: AttemptId, state: Uint8Array) => Promise<Result<void, EngineError>>;
};
