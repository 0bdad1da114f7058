/** Whether this agent's backend server is leaving, and why. */
import type {AuditRecorder} from '../audit/audit-record.js';
import type {InstanceId} from '../core/ids.js';
import {createSnapshotStore} from '../core/snapshot-store.js';
import type {Teardown} from '../core/teardown.js';

/** Who can say that an instance is leaving. */
export type DrainCause = 'planned_stop' | 'instance_list' | 'signal';

/** The causes in force; the instance is leaving while there is one. */
export type DrainState = {
	readonly isDraining: () => boolean;
	/** Sets or lifts one cause. */
	readonly setCause: (cause: DrainCause, isInForce: boolean) => void;
	/** Calls `listener` when the instance begins to leave and when that is lifted. */
	readonly registerListener: (listener: (isLeaving: boolean) => void) => Teardown;
};

/** Creates the state of an instance that is not leaving. Each change is recorded for the auditor. */
export function createDrainState(instanceId: InstanceId, audit: AuditRecorder): DrainState {
	const store = createSnapshotStore<readonly DrainCause[]>([]);

	return {
		isDraining: () => store.read().length > 0,
		setCause(cause, isInForce) {
			if (store.read().includes(cause) === isInForce) {
				return;
			}

			store.update(causes => isInForce ? [...causes, cause] : causes.filter(other => other !== cause));
			audit.append({
				kind: 'leaving', instanceId, leaving: store.read().length > 0, cause,
			}, 'may_drop');
		},
		registerListener: listener => store.registerListener((causes, before) => {
			const isLeaving = causes.length > 0;
			if (isLeaving !== (before.length > 0)) {
				listener(isLeaving);
			}
		}),
	};
}
