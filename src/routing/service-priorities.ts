import type {RoutingConfiguration} from './routing-configuration.js';

/** Priorities with which requests may be sent to a service, the most urgent first; an account's own takes precedence over the route's. */
export function listServicePriorities({routes, accounts}: Pick<RoutingConfiguration, 'routes' | 'accounts'>, service: string): readonly number[] {
	const priorities = routes
		.filter(({shares}) => shares.some(share => share.service === service && share.weight > 0))
		.flatMap(({priority, isPublic}) => isPublic || !accounts ? [priority] : [...accounts.values()].map(account => account.priority ?? priority));
	return [...new Set(priorities)].toSorted((left, right) => left - right);
}
