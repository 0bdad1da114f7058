import type {LinkAccess} from '../access/link-access.js';
import type {AuditRecorder} from '../audit/audit-record.js';
import type {ConfigurationHolder} from '../configuration/configuration-holder.js';
import type {Clock} from '../core/clock.js';
import type {Incarnation} from '../core/ids.js';
import type {LifeCycle} from '../core/life-cycle.js';
import type {Log} from '../observability/log.js';
import type {Metrics} from '../observability/metrics.js';
import type {InstanceList} from '../ports/instance-list.js';
import type {ObjectStore} from '../ports/object-store.js';
import type {TableStore} from '../ports/table-store.js';

/** Dependencies that the daemon passes to every role. */
export type ProcessContext = Readonly<{
	/** Identifies this run of the process. */
	incarnation: Incarnation;
	clock: Clock;
	log: Log;
	metrics: Metrics;
	lifeCycle: LifeCycle;
	audit: AuditRecorder;
	table: TableStore;
	objects: ObjectStore;
	instances: InstanceList;
	/** Updated from the table by the daemon, and with versions that peers send over the links. */
	configuration: ConfigurationHolder;
	linkAccess: LinkAccess;
}>;
