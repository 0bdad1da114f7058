import type {AccountName} from '../../core/ids.js';
import type {Teardown} from '../../core/teardown.js';
import type {WorkClass} from '../../targets/targets.js';

/** A request that asks to be served. */
export type AdmissionRequest = Readonly<{
	account: AccountName;
	workClass: WorkClass;
	/** Time left to its deadline. */
	remainingMillis: number;
}>;

/** Why a request is refused: too much load; its account is above its fair share; its deadline cannot be met. */
export type RefusalReason = 'overload' | 'fair_share' | 'deadline';

/** The request may be dispatched now. */
export type Admitted = Readonly<{
	tag: 'admitted';
	/** Called when the first token or byte of the answer comes. */
	noteFirstByte: () => void;
	/** Called once the request is over, however it ended; further calls have no effect. */
	release: () => void;
}>;

/** The request was not run; the caller is told to come back after `retryAfterMillis`. */
export type AdmissionRefusal = Readonly<{tag: 'refused'; reason: RefusalReason; retryAfterMillis: number}>;

/** Outcome of asking for admission. */
export type AdmissionDecision = Admitted | AdmissionRefusal;

/** Load of all backend servers of a service that this entry has links to. */
export type ServiceLoad = Readonly<{
	running: number;
	queued: number;
	backendServers: number;
	/** Age of the oldest report in it. */
	ageMillis: number;
}>;

/** Decides which requests are served, in what order, and which are refused. */
export type Admission = Readonly<{
	/** Resolves when the request may be dispatched, or as soon as it is known that it will be refused. */
	admit: (req: AdmissionRequest, signal?: AbortSignal) => Promise<AdmissionDecision>;
	/** Like `admit`, with a callback, which may run before this returns. The teardown withdraws a request that waits. */
	enqueue: (req: AdmissionRequest, decide: (decision: AdmissionDecision) => void) => Teardown;
	/** Takes the load that the backend servers of a service reported. */
	noteServiceLoad: (service: string, load: ServiceLoad) => void;
	/** Requests that wait for admission. */
	countWaiting: () => number;
}>;
