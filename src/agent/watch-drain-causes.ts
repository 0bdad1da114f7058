import type {ProcessContext} from '../daemon/process-context.js';
import {isLeaving, type LeavingSubject} from '../leaving/leaving-cause.js';
import type {AgentSettings} from '../settings/settings.js';
import {INSTANCE_LIST_POLL_INTERVAL_MILLIS} from './agent-constants.js';
import type {DrainState} from './drain-state.js';

/** Updates the drain state from the configuration's planned stops and the instance list until the process shuts down. */
export function watchDrainCauses(ctx: ProcessContext, settings: AgentSettings, drainState: DrainState): void {
	const applyPlannedStops = () => {
		const cfg = ctx.configuration.read();
		const evidence = {instances: [], plannedStops: cfg?.plannedStops ?? []};
		drainState.setCause('planned_stop', isLeaving(evidence, toSubject(settings)));
	};

	applyPlannedStops();
	ctx.lifeCycle.own('planned stop listener', ctx.configuration.registerListener(applyPlannedStops));
	void pollInstanceList(ctx, settings, drainState);
}

async function pollInstanceList(ctx: ProcessContext, settings: AgentSettings, drainState: DrainState): Promise<void> {
	const {signal} = ctx.lifeCycle;
	while (!signal.aborted) {
		// Polls run one after the other.
		// eslint-disable-next-line no-await-in-loop
		await applyInstanceList(ctx, settings, drainState);
		// eslint-disable-next-line no-await-in-loop
		await ctx.clock.sleep(INSTANCE_LIST_POLL_INTERVAL_MILLIS, signal);
	}
}

/** Reads the instance list. An unreachable list, or one without this instance, changes nothing. */
async function applyInstanceList(ctx: ProcessContext, settings: AgentSettings, drainState: DrainState): Promise<void> {
	const listed = await ctx.instances.list();
	if (listed.ok && listed.value.some(instance => instance.id === settings.instanceId)) {
		const evidence = {instances: listed.value, plannedStops: []};
		drainState.setCause('instance_list', isLeaving(evidence, toSubject(settings)));
	}
}

function toSubject({instanceId, failureDomain}: AgentSettings): LeavingSubject {
	return {id: instanceId, failureDomain};
}
