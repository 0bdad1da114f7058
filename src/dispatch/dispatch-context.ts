import type {AuditRecorder} from '../audit/audit-record.js';
import type {ConfigurationHolder} from '../configuration/configuration-holder.js';
import type {Clock} from '../core/clock.js';
import type {AgentLinks} from '../ports/agent-link.js';
import type {Log} from '../observability/log.js';
import type {Metrics} from '../observability/metrics.js';
import type {ObjectStore} from '../ports/object-store.js';
import type {TableStore} from '../ports/table-store.js';
import type {ClassStatistics} from './class-statistics.js';
import type {TrafficPolicies} from './traffic-policies.js';

/** What dispatch needs of its process. */
export type DispatchContext = Readonly<{
	clock: Clock;
	log: Log;
	metrics: Metrics;
	audit: AuditRecorder;
	configuration: ConfigurationHolder;
	links: AgentLinks;
	table: TableStore;
	objects: ObjectStore;
	policies: TrafficPolicies;
	statistics: ClassStatistics;
}>;
