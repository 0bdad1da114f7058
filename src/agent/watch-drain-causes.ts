import type {ProcessContext} from '../daemon/process-context.js';
import {isLeaving, type LeavingSubject} from '../leaving/leaving-cause.js';
import type {AgentSettings} from '../settings/settings.js';
import {INSTANCE_LIST_POLL_INTERVAL_MILLIS} from './agent-constants.js';
import type {DrainState} from './drain-state.js';

/** Follows the planned stops of the configuration and the instance list until the process ends. */
export function watchDrainCauses(ctx: ProcessContext, settings: AgentSettings, leaving: DrainState): void {
	const followStops = () => {
		const cfg = ctx.configuration.read();
		const evidence = {instances: [], plannedStops: cfg?.plannedStops ?? []};
		leaving.setCause('planned_stop', isLeaving(evidence, toSubject(settings)));
	};

	followStops();
	ctx.lifeCycle.own('planned stop listener', ctx.configuration.registerListener(followStops));
	void followInstanceList(ctx, settings, leaving);
}

async function followInstanceList(ctx: ProcessContext, settings: AgentSettings, leaving: DrainState): Promise<void> {
	const {signal} = ctx.lifeCycle;
	while (!signal.aborted) {
		// One look after the other.
		// eslint-disable-next-line no-await-in-loop
		await lookAtInstanceList(ctx, settings, leaving);
		// eslint-disable-next-line no-await-in-loop
		await ctx.clock.sleep(INSTANCE_LIST_POLL_INTERVAL_MILLIS, signal);
	}
}

/** An unreachable list, or one that lacks this instance, changes nothing. */
async function lookAtInstanceList(ctx: ProcessContext, settings: AgentSettings, leaving: DrainState): Promise<void> {
	const listed = await ctx.instances.list();
	if (listed.ok && listed.value.some(instance => instance.id === settings.instanceId)) {
		const evidence = {instances: listed.value, plannedStops: []};
		leaving.setCause('instance_list', isLeaving(evidence, toSubject(settings)));
	}
}

function toSubject({instanceId, failureDomain}: AgentSettings): LeavingSubject {
	return {id: instanceId, failureDomain};
}
