import type {AttemptId} from '../core/ids.js';
import type {Result} from '../core/result.js';

/** Experts by slot: `slots[rank * slotsPerRank + i]` is the expert of slot `i` of a rank, -1 for an empty slot. */
export type LayerMap = Readonly<{slotsPerRank: number; slots: readonly number[]}>;

/** Placement of the experts of all layers of a group. */
export type ExpertMap = Readonly<{layers: readonly LayerMap[]}>;

/** A request for a streamed answer. */
export type StreamRequest = Readonly<{
	attemptId: AttemptId;
	prompt: string;
	maxTokens: number;
	/** Larger goes first. */
	priority: number;
	/** First token wanted; a resumed answer starts beyond 0. */
	offset: number;
}>;

/** Tokens from `offset` on. */
export type TokenPiece = Readonly<{offset: number; tokens: readonly string[]}>;

/** The last item of a whole stream. */
export type StreamEnd = Readonly<{count: number}>;

/** An item of a stream: pieces in any number, then one end. */
export type StreamItem
	= | Readonly<{tag: 'piece'; piece: TokenPiece}>
		| Readonly<{tag: 'end'; end: StreamEnd}>;

/** A call to the engine that failed. */
export type EngineError
	/** Refused before a byte was written. */
	= | Readonly<{tag: 'not_sent'; detail: string}>
	/** The engine refused it and did nothing. */
		| Readonly<{tag: 'refused'; reason: string}>
	/** Sent, and no whole answer came. */
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
	/** Epochs released, of which the engine takes no hold any more. */
	releasedEpochs: readonly number[];
	running: number;
	queued: number;
	/** Age of this report in milliseconds. */
	ageMillis: number;
	stepMillis: number;
	tokensPerSecond: number;
	/** Tokens of each expert, one list a layer, since the start of the group. */
	tokensPerExpert: ReadonlyArray<readonly number[]>;
}>;

/** A prompt prefix came into or left the engine's cache. */
export type CacheEvent = Readonly<{sequence: number; prefixDigest: string; evicted: boolean}>;

/** An order to the engine. Engines that check it refuse a fencing token lower than one seen before. */
export type EngineOrder
	= | Readonly<{tag: 'load_experts'; epoch: number; map: ExpertMap}>
		| Readonly<{tag: 'hold'; epoch: number; fromStep: number}>
	/** Forbids a hold of this epoch for good. Refused as `held` while there is one, which then stays. */
		| Readonly<{tag: 'forbid'; epoch: number}>
	/** Ends a hold, and forbids one of this epoch for good. */
		| Readonly<{tag: 'release'; epoch: number}>
	/** Ends the hold of a committed epoch: the map holds from the hold's step on. */
		| Readonly<{tag: 'take_map'; epoch: number; map: ExpertMap; fromStep: number}>
		| Readonly<{tag: 'load_model' | 'load_adapter'; name: string; version: string}>
		| Readonly<{tag: 'change_role'; role: string}>;

/** The model engine beside this agent. */
export type ModelEngine = {
	readonly stream: (req: StreamRequest, signal: AbortSignal) => AsyncIterable<Result<StreamItem, EngineError>>;
	readonly cancel: (attemptId: AttemptId) => Promise<Result<void, EngineError>>;
	readonly readState: () => Promise<Result<EngineState, EngineError>>;
	readonly readCacheEvents: (afterSequence: number) => Promise<Result<readonly CacheEvent[], EngineError>>;
	readonly order: (order: EngineOrder, fencingToken: number) => Promise<Result<void, EngineError>>;
	/** State of a running stream, to be imported by another engine. */
	readonly exportStream: (attemptId: AttemptId) => Promise<Result<Uint8Array, EngineError>>;
	readonly importStream: (attemptId: AttemptId, state: Uint8Array) => Promise<Result<void, EngineError>>;
};
