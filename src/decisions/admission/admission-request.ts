import type {AccountName} from '../../core/ids.js';
import type {Teardown} from '../../core/teardown.js';
import type {WorkClass} from '../../targets/targets.js';

/** A request to be admitted. */
export type AdmissionRequest = Readonly<{
	account: AccountName;
	workClass: WorkClass;
	/** Time left until its deadline. */
	remainingMillis: number;
}>;

/** Why a request is refused: overload; its account exceeds its fair share; its deadline cannot be met. */
export type RefusalReason = 'overload' | 'fair_share' | 'deadline';

/** The request may be dispatched now. */
export type Admitted = Readonly<{
	tag: 'admitted';
	/** Called when the first token or byte of the response arrives. */
	noteFirstByte: () => void;
	/** Called once the request is over, however it ended; further calls have no effect. */
	release: () => void;
}>;

/** The request was not run; the caller may retry after `retryAfterMillis`. */
export type AdmissionRefusal = Readonly<{tag: 'refused'; reason: RefusalReason; retryAfterMillis: number}>;

/** Outcome of an admission request. */
export type AdmissionDecision = Admitted | AdmissionRefusal;

/** Total load of the backend servers of a service that this entry is linked to. */
export type ServiceLoad = Readonly<{
	running: number;
	queued: number;
	backendServers: number;
	/** Age of the oldest load report included. */
	ageMillis: number;
}>;

/** Decides which requests are admitted, in what order, and which are refused. */
export type Admission = Readonly<{
	/** Resolves when the request may be dispatched, or as soon as it is certain to be refused. */
	admit: (req: AdmissionRequest, signal?: AbortSignal) => Promise<AdmissionDecision>;
	/** Like `admit`, with a callback, which may run before this returns. The teardown withdraws a waiting request. */
	enqueue: (req: AdmissionRequest, decide: (decision: AdmissionDecision) => void) => Teardown;
	/** Records the load reported by the backend servers of a service. */
	noteServiceLoad: (service: string, load: ServiceLoad) => void;
	/** Number of requests waiting for admission. */
	countWaiting: () => number;
}>;
