import type {PlannedStop} from '../configuration/configuration.js';
import type {Instance} from '../ports/instance-list.js';

/** Why an instance is leaving. */
export type LeavingCause
	/** An operator announced a stop of the instance or of its failure domain. */
	= | Readonly<{tag: 'planned_stop'; stop: PlannedStop}>
	/** The instance list shows it as leaving. */
		| Readonly<{tag: 'listed'}>;

/** The instance that is asked about. */
export type LeavingSubject = Pick<Instance, 'id' | 'failureDomain'>;

/** What is known about instances that leave; either part may be behind. */
export type LeavingEvidence = Readonly<{
	/** The list as it was read last; empty before the first read. */
	instances: readonly Instance[];
	/** Planned stops of the configuration in force. */
	plannedStops: readonly PlannedStop[];
}>;

function concerns(stop: PlannedStop, subject: LeavingSubject): boolean {
	return stop.scope === 'instance'
		? stop.subject === subject.id
		: stop.subject === subject.failureDomain;
}

/**
 * The first reason found to take an instance for leaving, or undefined.
 *
 * Either source alone suffices, and each must take its word back before the instance counts as staying: a list that
 * lags behind an announced stop hides nothing, and one that lags behind a cancelled stop only delays new work. An
 * instance that is not listed is not leaving for that; a new one is listed late.
 */
export function findLeavingCause(evidence: LeavingEvidence, subject: LeavingSubject): LeavingCause | undefined {
	const stop = evidence.plannedStops.find(other => concerns(other, subject));
	if (stop) {
		return {tag: 'planned_stop', stop};
	}

	const listed = evidence.instances.find(instance => instance.id === subject.id);
	return listed?.state === 'leaving' ? {tag: 'listed'} : undefined;
}

/** Whether an instance is leaving by either source. */
export function isLeaving(evidence: LeavingEvidence, subject: LeavingSubject): boolean {
	return findLeavingCause(evidence, subject) !== undefined;
}
