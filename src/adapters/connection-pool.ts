import {Agent} from 'undici';
import type {LifeCycle} from '../core/life-cycle.js';

/** Maximum number of connections per pool. */
const MAX_CONNECTIONS = 128;

/** The connections to one server; after a timeout they are all replaced together. */
export type ConnectionPool = {
	readonly current: () => Agent;
	/** Uses new connections for new exchanges from now on; exchanges in flight on `timedOut` continue. */
	readonly replace: (timedOut: Agent) => void;
};

/** Creates a pool whose connections are closed at the end of the life cycle. */
export function createConnectionPool(baseUrl: string, timeoutMillis: number, lifeCycle: LifeCycle): ConnectionPool {
	const open = new Set<Agent>();
	let current = openAgent();
	lifeCycle.own(`connections to ${baseUrl}`, async () => {
		await Promise.all([...open].map(async agent => agent.destroy()));
	});

	function openAgent(): Agent {
		const agent = new Agent({
			connections: MAX_CONNECTIONS,
			pipelining: 1,
			connect: {timeout: timeoutMillis},
			headersTimeout: timeoutMillis,
			bodyTimeout: timeoutMillis,
		});
		open.add(agent);
		return agent;
	}

	async function closeWhenIdle(agent: Agent): Promise<void> {
		await agent.close();
		open.delete(agent);
	}

	return {
		current: () => current,
		replace(timedOut) {
			if (timedOut === current && !lifeCycle.signal.aborted) {
				current = openAgent();
				void closeWhenIdle(timedOut);
			}
		},
	};
}
