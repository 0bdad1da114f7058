import type {RandomSource} from '../decisions/random.js';
import {sum} from '../decisions/sum.js';
import type {Route, RoutingConfiguration} from './routing-configuration.js';

/** Index of the routes of one configuration version. */
export type RouteTable = Readonly<{
	/** The route of `host` with the longest prefix that matches the path. */
	lookUp: (host: string, path: string) => Route | undefined;
}>;

/** Lower-cases a host name and removes the port. */
function normalizeHost(host: string): string {
	const colon = host.indexOf(':');
	return (colon === -1 ? host : host.slice(0, colon)).toLowerCase();
}

export function createRouteTable(cfg: RoutingConfiguration): RouteTable {
	const byHost = new Map<string, readonly Route[]>();
	for (const route of cfg.routes) {
		const host = normalizeHost(route.host);
		byHost.set(host, [...byHost.get(host) ?? [], route]);
	}

	for (const [host, routes] of byHost) {
		byHost.set(host, routes.toSorted((left, right) => right.prefix.length - left.prefix.length));
	}

	return {
		lookUp(host, path) {
			const query = path.indexOf('?');
			const pathname = query === -1 ? path : path.slice(0, query);
			return byHost.get(normalizeHost(host))?.find(route => pathname.startsWith(route.prefix));
		},
	};
}

/** Picks a service of the route at random, weighted by its shares. */
export function drawService(route: Route, random: RandomSource): string | undefined {
	let remaining = random() * sum(route.shares.map(({weight}) => weight));
	for (const {service, weight} of route.shares) {
		remaining -= weight;
		if (remaining < 0) {
			return service;
		}
	}

	return route.shares[0]?.service;
}
