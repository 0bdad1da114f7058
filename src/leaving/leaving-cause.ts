import type {PlannedStop} from '../configuration/configuration.js';
import type {Instance} from '../ports/instance-list.js';

/** Why an instance is leaving. */
export type LeavingCause
	/** An operator announced a stop of the instance or of its failure domain. */
	= | Readonly<{tag: 'planned_stop'; stop: PlannedStop}>
		/** The instance list shows it as leaving. */
		| Readonly<{tag: 'listed'}>;

/** The instance whose state is looked up. */
export type LeavingSubject = Pick<Instance, 'id' | 'failureDomain'>;

/** Sources of information about leaving instances; either may be stale. */
export type LeavingSources = Readonly<{
	/** The most recently read instance list; empty before the first read. */
	instances: readonly Instance[];
	/** Planned stops of the configuration in force. */
	plannedStops: readonly PlannedStop[];
}>;

function appliesTo(stop: PlannedStop, subject: LeavingSubject): boolean {
	return stop.scope === 'instance'
		? stop.subject === subject.id
		: stop.subject === subject.failureDomain;
}

/**
 * Returns the first cause found for which an instance is leaving, or undefined.
 *
 * One source is enough, and the instance stays only when neither source reports it as leaving. So a list that does
 * not show an announced stop yet does not hide it, and a list that still shows a cancelled stop only delays new work.
 * A missing list entry does not mean that the instance is leaving, because new instances are listed late.
 */
export function findLeavingCause(sources: LeavingSources, subject: LeavingSubject): LeavingCause | undefined {
	const stop = sources.plannedStops.find(other => appliesTo(other, subject));
	if (stop) {
		return {tag: 'planned_stop', stop};
	}

	const listed = sources.instances.find(instance => instance.id === subject.id);
	return listed?.state === 'leaving' ? {tag: 'listed'} : undefined;
}

/** Whether either source reports the instance as leaving. */
export function isLeaving(sources: LeavingSources, subject: LeavingSubject): boolean {
	return findLeavingCause(sources, subject) !== undefined;
}
