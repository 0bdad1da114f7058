import type {Clock} from '../core/clock.js';
import type {GroupRefusals} from '../decisions/flow/group-refusals.js';
import type {ProgressTracker} from '../decisions/flow/progress-tracker.js';
import type {ServerBackoff} from '../decisions/flow/server-backoff.js';
import type {ServerPicker} from '../decisions/flow/server-picker.js';
import type {RequestQuarantine} from '../decisions/quarantine/request-quarantine.js';
import type {ColdEngines} from '../decisions/rate-limit/cold-engines.js';
import type {RateLimiter} from '../decisions/rate-limit/rate-limiter.js';
import type {StatedLimits} from '../decisions/rate-limit/stated-limits.js';
import type {RandomSource} from '../decisions/random.js';
import type {EntryMembers} from '../membership/entry-members.js';
import type {Log} from '../observability/log.js';
import type {CallCodec} from '../ports/call-codec.js';
import type {SlowRankList} from '../slow-ranks/slow-rank-list.js';
import type {BackendConnections} from './backend-connections.js';
import type {BackendServerList, BackendServers} from './backend-server-list.js';
import type {ConfigurationInForce} from './configuration-in-force.js';
import type {CrashWatch} from './crash-watch.js';
import type {DrainSchedule} from './drain-schedule.js';
import type {EvacuationProgress} from './evacuation-progress.js';
import type {Evacuations} from './evacuations.js';
import type {GatewayMetrics} from './gateway-metrics.js';
import type {ServiceFlows} from './service-flows.js';

/** Dependencies of serving a call. */
export type GatewayContext = Readonly<{
	clock: Clock;
	log: Log;
	random: RandomSource;
	metrics: GatewayMetrics;
	codec: CallCodec;
	connections: BackendConnections;
	configuration: ConfigurationInForce;
	readServers: () => BackendServers;
	evacuations: Evacuations;
	evacuationProgress: EvacuationProgress;
	picker: ServerPicker;
	flows: ServiceFlows;
	permitLoans: EntryMembers['permits'];
	progress: ProgressTracker;
	groupRefusals: GroupRefusals;
	slowRanks: SlowRankList;
	serverBackoff: ServerBackoff;
	statedLimits: StatedLimits;
	coldEngines: ColdEngines;
	rateLimiter: RateLimiter;
	noteLeaving: BackendServerList['noteLeaving'];
	quarantine: RequestQuarantine;
	crashWatch: CrashWatch;
	/** Steps of the drain; undefined until it begins. */
	readDrainSchedule: () => DrainSchedule | undefined;
	/** Aborts when the process is about to end, and calls in flight with it. */
	cutOffSignal: AbortSignal;
}>;
