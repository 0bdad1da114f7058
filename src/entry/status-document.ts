/** Response body of `GET /v1/status`. */
import type {Configuration} from '../configuration/configuration.js';
import type {Metrics} from '../observability/metrics.js';
import type {ClassStatistics} from '../dispatch/class-statistics.js';
import type {InstanceView} from './system-view.js';

type GaugeValues = ReadonlyArray<Readonly<{value: number; labels: Readonly<Partial<Record<string, string | number>>>}>>;

function findByGroup(values: GaugeValues, group: string): number | undefined {
	return values.find(item => item.labels.group === group)?.value;
}

function divide(part: number, whole: number): number {
	return whole === 0 ? 0 : part / whole;
}

function describeDomains(instances: readonly InstanceView[]) {
	const names = [...new Set(instances.map(instance => instance.failureDomain))].toSorted();
	return names.map(failureDomain => ({
		failureDomain,
		instances: instances.filter(instance => instance.failureDomain === failureDomain),
	}));
}

function describeClasses(cfg: Configuration, statistics: ClassStatistics) {
	return cfg.targets.classes.map(({name, lateShare, refusedShare}) => {
		const counts = statistics.read(name);
		return {
			name,
			requests: counts.requests,
			lateShare: divide(counts.late, counts.answered),
			lateShareTarget: lateShare,
			refusedShare: divide(counts.refused, counts.requests),
			refusedShareTarget: refusedShare,
		};
	});
}

async function describeGroups(cfg: Configuration, metrics: Metrics) {
	const skews = await metrics.stepSkew.get();
	const moves = await metrics.movedExperts.get();
	return cfg.targets.groups.map(({name, favour}) => ({
		name,
		favour,
		skew: findByGroup(skews.values, name) ?? null,
		movedExperts: findByGroup(moves.values, name) ?? 0,
	}));
}

/** Creates the state of the system as this entry sees it. The figures of classes and groups cover this entry only. */
export async function createStatusDocument(
	cfg: Configuration,
	instances: readonly InstanceView[],
	statistics: ClassStatistics,
	metrics: Metrics,
) {
	return {
		version: cfg.version,
		changeId: cfg.changeId,
		failureDomains: describeDomains(instances),
		classes: describeClasses(cfg, statistics),
		groups: await describeGroups(cfg, metrics),
	};
}
