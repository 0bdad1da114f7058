import {Agent} from 'undici';
import type {LifeCycle} from '../core/life-cycle.js';

/** Connections that one pool opens at most. */
const MAX_CONNECTIONS = 128;

/** The connections to one server, of which those opened before a silent one can be given up together. */
export type ConnectionPool = {
	readonly current: () => Agent;
	/** New exchanges take new connections from now on; those that `silent` still serves go on. */
	readonly replace: (silent: Agent) => void;
};

/** Creates a pool whose connections end with the life cycle. */
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

	async function retire(agent: Agent): Promise<void> {
		await agent.close();
		open.delete(agent);
	}

	return {
		current: () => current,
		replace(silent) {
			if (silent === current && !lifeCycle.signal.aborted) {
				current = openAgent();
				void retire(silent);
			}
		},
	};
}
