/** What the operators of a deployment decide about requests: routes, services, client accounts and limits. */
import type {AccountName} from '../core/ids.js';

/**
 * What may follow an attempt that may have run.
 *
 * `idempotent`: another attempt from the start. `resumable`: an event stream that another backend server can continue
 * behind its last whole event. `at_most_once`: nothing.
 */
export type RetryRule = 'idempotent' | 'resumable' | 'at_most_once';

/** A service that takes a part of a route's requests. */
export type RouteShare = Readonly<{service: string; weight: number}>;

/** Requests that share a host and a path prefix. */
export type Route = Readonly<{
	name: string;
	host: string;
	/** Begins and ends with a slash. */
	prefix: string;
	retryRule: RetryRule;
	/** Whether answers are event streams. */
	isStreaming: boolean;
	/** Longest time that a request may take in all, in milliseconds. */
	timeoutMillis: number;
	/** Time within which an answer, or the first event of a stream, is on time, in milliseconds. */
	targetLatencyMillis: number;
	/** Longest pause between two events of a stream that is on time, in milliseconds. */
	maxPauseMillis: number | undefined;
	/** Backend servers that one request may be sent to. */
	maxAttempts: number;
	/** 0 is served first. */
	priority: number;
	/** Whether requests need no credential. */
	isPublic: boolean;
	shares: readonly RouteShare[];
}>;

/** Shape of the rank groups of a model service. */
export type ExpertLayout = Readonly<{
	/** Sets of layers that are placed on their own. */
	layers: number;
	experts: number;
	/** Expert copies that a rank holds of each layer set. */
	slotsPerRank: number;
	/** New copies of each layer set that a rank can take in one change of the map. */
	maxLoadsPerRank: number;
	/** Time to copy one expert to a rank, in milliseconds. */
	copyMillis: number;
}>;

/** Cost model of the engines of a model service. */
export type EngineFigures = Readonly<{
	/** Requests in one batch. */
	batchSize: number;
	/** Token steps of a pass. */
	stepsPerPass: number;
	/** Tokens that the key-value memory of an engine holds. */
	memoryTokens: number;
	stepMillis: number;
	/** Added to a step by each request that is writing, in milliseconds. */
	stepMillisPerRequest: number;
	/** Prompt tokens read in a millisecond. */
	prefillTokensPerMilli: number;
	/** Mean prompt length, in tokens. */
	usualPromptTokens: number;
	/** Mean answer length, in tokens. */
	usualAnswerTokens: number;
	/** Absent where the engines are no rank group. */
	experts: ExpertLayout | undefined;
}>;

/** A service that the system routes to. */
export type BackendService = Readonly<{
	name: string;
	/** Path of the health check. */
	healthPath: string;
	/** Connections that one backend server accepts from all instances together. */
	maxConnections: number;
	/** Absent for a plain service. */
	engine: EngineFigures | undefined;
}>;

/** A client account; `priority` goes before that of a route. */
export type RoutedAccount = Readonly<{name: AccountName; priority: number | undefined}>;

/** Bounds on what a caller may send. */
export type CallerLimits = Readonly<{
	maxHeaderBytes: number;
	maxBodyBytes: number;
	headerTimeoutMillis: number;
	idleTimeoutMillis: number;
}>;

/** One version of the configuration. */
export type RoutingConfiguration = Readonly<{
	/** Grows with each change, in uneven steps. */
	version: number;
	routes: readonly Route[];
	services: ReadonlyMap<string, BackendService>;
	/** Accounts by credential; undefined where callers show none. */
	accounts: ReadonlyMap<string, RoutedAccount> | undefined;
	limits: CallerLimits;
}>;
