import {instrumentInstanceList, instrumentObjectStore, instrumentTableStore} from '../adapters/instrumented-stores.js';
import {createHttpInstanceList} from '../adapters/http-instance-list.js';
import {createHttpObjectStore} from '../adapters/http-object-store.js';
import {createHttpTableStore} from '../adapters/http-table-store.js';
import {createLinkAccess} from '../access/link-access.js';
import {createAuditLog} from '../audit/audit-recorder.js';
import {startAuditWriter} from '../audit/audit-writer.js';
import {createConfigurationHolder} from '../configuration/configuration-holder.js';
import {createId} from '../core/ids.js';
import {createLifeCycle} from '../core/life-cycle.js';
import {systemClock} from '../core/system-clock.js';
import {createProcessLog} from '../observability/log.js';
import {createMetrics} from '../observability/metrics.js';
import type {Secrets} from '../settings/read-secrets.js';
import type {Settings} from '../settings/settings.js';
import type {ProcessContext} from './process-context.js';

/** Timeout of one call to the platform services, in milliseconds. */
const PLATFORM_TIMEOUT_MILLIS = 2000;

/** Creates the context shared by all roles and starts the audit writer. */
export function createContext(settings: Settings, secrets: Secrets): ProcessContext {
	const {instanceId, failureDomain, platform} = settings;
	const incarnation = createId();
	const clock = systemClock;
	const lifeCycle = createLifeCycle();
	const log = createProcessLog({instanceId, incarnation, failureDomain});
	const metrics = createMetrics();
	const createClientOptions = (baseUrl: string) => ({baseUrl, timeoutMillis: PLATFORM_TIMEOUT_MILLIS, lifeCycle});
	const objects = instrumentObjectStore(createHttpObjectStore(createClientOptions(platform.objectUrl)), metrics);
	const auditLog = createAuditLog(clock, {instanceId, incarnation, pendingRecords: settings.auditPendingRecords});
	startAuditWriter({
		clock, log, metrics, lifeCycle, objects, auditLog, intervalMillis: settings.auditIntervalMillis,
	});
	return {
		incarnation,
		clock,
		log,
		metrics,
		lifeCycle,
		audit: auditLog,
		table: instrumentTableStore(createHttpTableStore(createClientOptions(platform.tableUrl)), metrics),
		objects,
		instances: instrumentInstanceList(createHttpInstanceList(createClientOptions(platform.instanceListUrl)), metrics),
		configuration: createConfigurationHolder(),
		linkAccess: createLinkAccess(secrets.linkToken, secrets.tls),
	};
}
