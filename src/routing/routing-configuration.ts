/** Operator-managed configuration of request routing: routes, services, client accounts and limits. */
import type {AccountName} from '../core/ids.js';
import type {ColdRule} from '../decisions/rate-limit/cold-engines.js';

/**
 * How a request may be retried after an attempt that may have run.
 *
 * `idempotent`: from the start. `resumable`: an event stream that another backend server can continue after its last
 * complete event. `at_most_once`: never.
 */
export type RetryRule = 'idempotent' | 'resumable' | 'at_most_once';

/** A service that receives a share of a route's requests, in proportion to its weight. */
export type RouteShare = Readonly<{service: string; weight: number}>;

/** Requests that share a host and a path prefix. */
export type Route = Readonly<{
	name: string;
	host: string;
	/** Begins and ends with a slash. */
	prefix: string;
	retryRule: RetryRule;
	/** Whether responses are event streams. */
	isStreaming: boolean;
	/** Time limit of a whole request, in milliseconds. */
	timeoutMillis: number;
	/** Latency target of the response, or of the first event of a stream, in milliseconds. */
	targetLatencyMillis: number;
	/** Target for the longest gap between two events of a stream, in milliseconds. */
	maxPauseMillis: number | undefined;
	/** Largest number of backend servers that one request may be sent to. */
	maxAttempts: number;
	/** 0 is the highest priority. */
	priority: number;
	/** Whether requests are served without a credential. */
	isPublic: boolean;
	shares: readonly RouteShare[];
}>;

/** Layout of the experts on the rank groups of a model service. */
export type ExpertLayout = Readonly<{
	/** Number of layer sets; each has its own placement. */
	layers: number;
	experts: number;
	/** Expert copies that a rank holds for each layer set. */
	slotsPerRank: number;
	/** Largest number of new expert copies that a rank can load for each layer set in one map change. */
	maxLoadsPerRank: number;
	/** Time to copy one expert to a rank, in milliseconds. */
	copyMillis: number;
}>;

/** Cost model of the engines of a model service. */
export type EngineFigures = Readonly<{
	/** Largest number of requests in one batch. */
	batchSize: number;
	/** Token steps in one pass. */
	stepsPerPass: number;
	/** Capacity of the key-value cache of an engine, in tokens. */
	memoryTokens: number;
	stepMillis: number;
	/** Time that each request in its decoding phase adds to a step, in milliseconds. */
	stepMillisPerRequest: number;
	/** Prompt tokens processed per millisecond. */
	prefillTokensPerMilli: number;
	/** Largest number of prompt tokens processed in one step; undefined when the configuration does not state it. */
	prefillTokensPerStep?: number;
	/** Time that each million pairs of prompt tokens adds to the prefill of a prompt, in milliseconds. */
	prefillMillisPerMillionPairs?: number;
	/** Time that each thousand tokens of context of the requests in their decoding phase add to a step, in milliseconds. */
	stepMillisPerThousandContextTokens?: number;
	/** Mean prompt length, in tokens. */
	usualPromptTokens: number;
	/** Mean answer length, in tokens. */
	usualAnswerTokens: number;
	/** Undefined when the engines do not form rank groups. */
	experts: ExpertLayout | undefined;
}>;

/** A service to which requests are routed. */
export type BackendService = Readonly<{
	name: string;
	/** Path of the health check. */
	healthPath: string;
	/** Largest number of connections that one backend server accepts from all instances together. */
	maxConnections: number;
	/** Limit on the requests to backend servers that have just started; absent if there is none. */
	cold?: ColdRule | undefined;
	/** Undefined for a plain service. */
	engine: EngineFigures | undefined;
}>;

/** A client account; its `priority` overrides that of the route. */
export type RoutedAccount = Readonly<{name: AccountName; priority: number | undefined}>;

/** Size and time limits for the requests of callers. */
export type CallerLimits = Readonly<{
	maxHeaderBytes: number;
	maxBodyBytes: number;
	headerTimeoutMillis: number;
	idleTimeoutMillis: number;
}>;

/** One version of the configuration. */
export type RoutingConfiguration = Readonly<{
	/** Increases with each change, not necessarily by one. */
	version: number;
	routes: readonly Route[];
	services: ReadonlyMap<string, BackendService>;
	/** Accounts by credential; undefined when callers do not present any. */
	accounts: ReadonlyMap<string, RoutedAccount> | undefined;
	limits: CallerLimits;
}>;
