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
	/** Processor cores available to the process; undefined if they are not known. */
	cpuCores?: number | undefined;
	/** Bandwidth of the link to callers, in Mbit/s; undefined if it is not known. */
	linkMbps?: number | undefined;
	/** Memory available to the process, in bytes; undefined if it is not known. */
	memoryBytes?: number | undefined;
	/** Bound on the requests to a cold engine; absent where none is cold. */
	coldBounds?: ColdBounds | undefined;
	retryBudget: SharedRetryBudgetOptions;
}>;
