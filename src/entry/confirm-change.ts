import type {Clock} from '../core/clock.js';
import type {ConfigVersion, InstanceId} from '../core/ids.js';
import {CONFIRM_POLL_INTERVAL_MILLIS, CONFIRM_TIMEOUT_MILLIS} from './entry-constants.js';
import {readSystemView, type SystemViewDeps} from './system-view.js';

/** Which instances have a configuration version, or a later one, in force. */
export type VersionConfirmation = Readonly<{confirmed: readonly InstanceId[]; missing: readonly InstanceId[]}>;

/** Waits until all instances have `version` or a later one in force, or `CONFIRM_TIMEOUT_MILLIS` has passed. */
export async function waitForConfirmation(clock: Clock, view: SystemViewDeps, version: ConfigVersion): Promise<VersionConfirmation> {
	const deadlineMillis = clock.monotonicMillis() + CONFIRM_TIMEOUT_MILLIS;
	for (;;) {
		/* eslint-disable no-await-in-loop -- Polls run one after the other. */
		const confirmation = await readConfirmation(view, version);
		if (confirmation.missing.length === 0 || clock.monotonicMillis() >= deadlineMillis) {
			return confirmation;
		}

		await clock.sleep(CONFIRM_POLL_INTERVAL_MILLIS);
		/* eslint-enable no-await-in-loop */
	}
}

async function readConfirmation(view: SystemViewDeps, version: ConfigVersion): Promise<VersionConfirmation> {
	const instances = await readSystemView(view);
	return {
		confirmed: instances.filter(instance => instance.version >= version).map(instance => instance.instanceId),
		missing: instances.filter(instance => instance.version < version).map(instance => instance.instanceId),
	};
}
