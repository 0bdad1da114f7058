import type {SharedRetryBudgetOptions} from '../decisions/retry/shared-retry-budget.js';
import type {InstanceId} from '../core/ids.js';
import type {ColdBounds} from '../decisions/rate-limit/cold-engines.js';

/** Settings of a gateway process. */
export type GatewaySettings = Readonly<{
	instanceId: InstanceId;
	region: string;
	failureDomain: string;
	/** Address on which callers connect, as `IP:port`. */
	callerListen: string;
	/** Address for datagrams between entries, as `IP:port`. */
	gossipListen: string;
	/** Address of the listener that reports what this entry believes of the others, as `IP:port`. */
	statusListen: string;
	/** Maximum number of caller connections. */
	maxConnections: number;
	/** Time from the stop signal until the process must have exited, in milliseconds. */
	graceMillis: number;
	/** Longest time for which the address of a dead entry may still be given to callers, in milliseconds. */
	deadEntryMillis: number;
	/** Time for which a draining backend server still serves, in milliseconds. */
	backendDrainMillis: number;
	/** Bound on the requests to a cold engine; absent where none is cold. */
	coldBounds?: ColdBounds | undefined;
	retryBudget: SharedRetryBudgetOptions;
}>;
