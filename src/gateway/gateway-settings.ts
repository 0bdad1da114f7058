import type {SharedRetryBudgetOptions} from '../decisions/retry/shared-retry-budget.js';
import type {InstanceId} from '../core/ids.js';

/** Settings of a gateway process. */
export type GatewaySettings = Readonly<{
	instanceId: InstanceId;
	region: string;
	failureDomain: string;
	/** Where callers connect, as `IP:port`. */
	callerListen: string;
	/** Connections of callers that are taken at most. */
	maxConnections: number;
	/** Time between the signal to stop and the end of the process, in milliseconds. */
	graceMillis: number;
	/** Time for which a dead entry may still be named to callers, in milliseconds. */
	deadEntryMillis: number;
	retryBudget: SharedRetryBudgetOptions;
}>;
