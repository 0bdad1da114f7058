/** In-process context for tests, with stores that hold what the test puts there. */
import {createLinkAccess} from '../../access/link-access.js';
import type {AuditEvent} from '../../audit/audit-record.js';
import type {Configuration} from '../../configuration/configuration.js';
import {createConfigurationHolder} from '../../configuration/configuration-holder.js';
import type {Clock} from '../../core/clock.js';
import {createLifeCycle} from '../../core/life-cycle.js';
import {fail, succeed} from '../../core/result.js';
import {systemClock} from '../../core/system-clock.js';
import type {ProcessContext} from '../../daemon/process-context.js';
import {silentLog} from '../../observability/log.js';
import {createMetrics} from '../../observability/metrics.js';
import type {Instance} from '../../ports/instance-list.js';
import type {Row} from '../../ports/table-store.js';
import {settingsSchema, type AgentSettings} from '../../settings/settings.js';

/** State of the fake platform that tests read and change. */
export type FakePlatform = {
	readonly events: AuditEvent[];
	readonly objects: Map<string, Uint8Array>;
	instances: readonly Instance[];
	rows: readonly Row[];
	isTableDown: boolean;
	hasAuditRoom: boolean;
};

export function createFakeContext(
	incarnation: string,
	{token, clock = systemClock}: Readonly<{token?: string; clock?: Clock}> = {},
): Readonly<{ctx: ProcessContext; platform: FakePlatform}> {
	const platform: FakePlatform = {
		events: [], objects: new Map(), instances: [], rows: [], isTableDown: false, hasAuditRoom: true,
	};
	const ctx: ProcessContext = {
		incarnation,
		clock,
		log: silentLog,
		metrics: createMetrics(),
		lifeCycle: createLifeCycle(),
		audit: {
			append(event, importance) {
				const isKept = platform.hasAuditRoom || importance === 'may_drop';
				if (isKept) {
					platform.events.push(event);
				}

				return isKept;
			},
			hasRoom: () => platform.hasAuditRoom,
		},
		table: {
			read: async (table, key) => platform.isTableDown
				? fail({tag: 'unavailable', detail: 'down'})
				: succeed(platform.rows.find(row => row.table === table && row.key === key)),
			list: async () => succeed([]),
			transact: async () => fail({tag: 'unavailable', detail: 'not used'}),
		},
		objects: {
			async create(key, bytes) {
				platform.objects.set(key, bytes);
				return succeed(undefined);
			},
			read: async key => succeed(platform.objects.get(key)),
			list: async () => succeed([]),
		},
		instances: {list: async () => succeed(platform.instances)},
		configuration: createConfigurationHolder(),
		linkAccess: createLinkAccess(token, undefined),
	};
	return {ctx, platform};
}

export function createSettings(changes: Readonly<Record<string, unknown>> = {}): AgentSettings {
	const settings = settingsSchema.parse({
		role: 'agent',
		instanceId: 'agent-1',
		region: 'chile',
		failureDomain: 'chile-centro-a',
		metricsListen: '127.0.0.1:0',
		platform: {tableUrl: 'http://127.0.0.1:1', objectUrl: 'http://127.0.0.1:1', instanceListUrl: 'http://127.0.0.1:1'},
		linkListen: '127.0.0.1:0',
		service: 'bookings',
		backend: {kind: 'plain', url: 'http://127.0.0.1:1'},
		...changes,
	});
	if (settings.role !== 'agent') {
		throw new TypeError('not the settings of an agent');
	}

	return settings;
}

export function createConfiguration(version: number, plannedStops: Configuration['plannedStops'] = []): Configuration {
	return {
		version,
		changeId: `change-${version}`,
		changedBy: 'test',
		plannedStops,
		targets: {
			services: [{name: 'bookings', kind: 'plain'}],
			classes: [{
				name: 'booking', service: 'bookings', lateAfterMillis: 1000, lateShare: 0.1, refusedShare: 0.1, idempotent: false, priority: 1, deadlineMillis: 5000,
			}],
			groups: [],
			accounts: [{name: 'workshop', credentialDigest: '0'.repeat(64)}],
		},
	};
}
