import type {PlannedStop} from '../configuration/configuration.js';
import type {InstanceId} from '../core/ids.js';
import type {AgentLink} from '../ports/agent-link.js';
import type {DispatchContext} from './dispatch-context.js';

/** Whether an announced stop names the instance or its failure domain. */
export function isStopPlanned(stops: readonly PlannedStop[], instanceId: InstanceId, failureDomain: string): boolean {
	return stops.some(stop => stop.subject === (stop.scope === 'instance' ? instanceId : failureDomain));
}

/** Open links to agents of the service that take new work, as far as this entry knows. */
export function findCandidates(ctx: DispatchContext, service: string, refusedBy: ReadonlySet<InstanceId>): readonly AgentLink[] {
	const stops = ctx.configuration.read()?.plannedStops ?? [];
	const leaving = new Set(ctx.links.instances()
		.filter(instance => instance.state === 'leaving')
		.map(instance => instance.id));
	return ctx.links.links()
		.filter(link => link.hello.service === service)
		.filter(link => !link.isDraining() && !leaving.has(link.hello.instanceId))
		.filter(link => !isStopPlanned(stops, link.hello.instanceId, link.hello.failureDomain))
		.filter(link => !refusedBy.has(link.hello.instanceId));
}
