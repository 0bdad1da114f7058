/** Whether this agent is draining, and why. */
import type {AuditRecorder} from '../audit/audit-record.js';
import type {InstanceId} from '../core/ids.js';
import {createSnapshotStore} from '../core/snapshot-store.js';
import type {Teardown} from '../core/teardown.js';

/** Reason for which an instance drains. */
export type DrainCause = 'planned_stop' | 'instance_list' | 'signal';

/** The causes that apply; the instance is draining while there is at least one. */
export type DrainState = {
	readonly isDraining: () => boolean;
	/** Adds or removes one cause. */
	readonly setCause: (cause: DrainCause, isActive: boolean) => void;
	/** Calls `listener` when the instance starts draining and when it stops draining. */
	readonly registerListener: (listener: (isDraining: boolean) => void) => Teardown;
};

/** Creates the state of an instance that is not draining. Each change of its causes is written to the audit log. */
export function createDrainState(instanceId: InstanceId, audit: AuditRecorder): DrainState {
	const store = createSnapshotStore<readonly DrainCause[]>([]);

	return {
		isDraining: () => store.read().length > 0,
		setCause(cause, isActive) {
			if (store.read().includes(cause) === isActive) {
				return;
			}

			store.update(causes => isActive ? [...causes, cause] : causes.filter(other => other !== cause));
			audit.append({
				kind: 'leaving', instanceId, leaving: store.read().length > 0, cause,
			}, 'may_drop');
		},
		registerListener: listener => store.registerListener((causes, before) => {
			const isDraining = causes.length > 0;
			if (isDraining !== (before.length > 0)) {
				listener(isDraining);
			}
		}),
	};
}
