/** Limits, queues and retry budgets, one of each for a service. */
import type {Clock} from '../core/clock.js';
import {createFirstByteEstimate, type FirstByteEstimate} from '../decisions/admission/first-byte-estimate.js';
import {createPermitQueue, type PermitQueue} from '../decisions/flow/permit-queue.js';
import {PLAIN_REQUESTS_PER_SLOT} from '../decisions/flow/flow-constants.js';
import {createOutageDetector, type OutageDetector} from '../decisions/flow/outage-detector.js';
import {createStreamConcurrencyLimit, type StreamConcurrencyLimit} from '../decisions/flow/stream-concurrency-limit.js';
import type {RandomSource} from '../decisions/random.js';
import {sum} from '../decisions/sum.js';
import {createSharedRetryBudget, type SharedRetryBudgetOptions, type SharedRetryBudget} from '../decisions/retry/shared-retry-budget.js';
import type {RoutingConfiguration} from '../routing/routing-configuration.js';
import type {BackendServer} from './backend-server.js';
import type {BackendServers} from './backend-server-list.js';

/** What the requests of one service share. */
export type ServiceFlow = Readonly<{
	permitQueue: PermitQueue;
	concurrencyLimit: StreamConcurrencyLimit;
	retryBudget: SharedRetryBudget;
	/** Time from sending a request to the first byte of its answer. */
	firstByteEstimate: FirstByteEstimate;
	outageDetector: OutageDetector;
	/** Idle connections to one backend server that this process may keep. */
	readMaxIdleConnections: () => number;
}>;

/** The flows of all services. */
export type ServiceFlows = Readonly<{
	read: (service: string) => ServiceFlow;
	/** Takes the backend servers, the configuration and the number of entries that share them. */
	update: (servers: BackendServers, cfg: RoutingConfiguration | undefined) => void;
	list: () => ReadonlyMap<string, ServiceFlow>;
}>;

type Deps = Readonly<{
	clock: Clock;
	random: RandomSource;
	budgetTerms: SharedRetryBudgetOptions;
	/** Live entries, this one included. */
	countEntries: () => number;
}>;

/** Part of the connections that a backend server accepts which all entries together keep idle. */
const IDLE_CONNECTION_SHARE = 0.6;
/** Share of answers whose first byte may come later than estimated. */
const ACCEPTED_LATE_SHARE = 0.1;

/** Whether requests of the service may go to a backend server: it is ready, and so is the group whose passes it takes part in. */
export function isAvailableForService(server: BackendServer, service: string): boolean {
	return server.service === service && server.state === 'ready' && server.group?.isOpen !== false;
}

/** Creates flows; a service gets its own when it is first asked for. */
export function createServiceFlows({clock, random, budgetTerms, countEntries}: Deps): ServiceFlows {
	const flows = new Map<string, ServiceFlow>();
	/** Idle connections to one backend server of each service. */
	const maxIdle = new Map<string, number>();
	/** Requests that the process may send to each plain service. */
	const plainLimits = new Map<string, number>();

	function create(service: string): ServiceFlow {
		const limit = createStreamConcurrencyLimit();
		const lane = createPermitQueue({
			clock, random, readLimit: () => plainLimits.get(service) ?? limit.read(),
		});
		return {
			permitQueue: lane,
			concurrencyLimit: limit,
			retryBudget: createSharedRetryBudget(clock, budgetTerms, countEntries),
			firstByteEstimate: createFirstByteEstimate(ACCEPTED_LATE_SHARE),
			outageDetector: createOutageDetector(random),
			readMaxIdleConnections: () => maxIdle.get(service) ?? 1,
		};
	}

	function read(service: string): ServiceFlow {
		const known = flows.get(service);
		if (known) {
			return known;
		}

		const flow = create(service);
		flows.set(service, flow);
		return flow;
	}

	return {
		read,
		update(servers, cfg) {
			const entries = Math.max(1, countEntries());
			for (const [name, {engine, maxConnections}] of cfg?.services ?? []) {
				maxIdle.set(name, Math.max(1, Math.floor(maxConnections * IDLE_CONNECTION_SHARE / entries)));
				const ready = [...servers.values()].filter(server => isAvailableForService(server, name));
				const slots = sum(ready.map(server => server.slots));
				const {concurrencyLimit: limit, permitQueue: lane} = read(name);
				if (engine) {
					limit.setSlots(slots / entries);
				} else {
					plainLimits.set(name, Math.max(PLAIN_REQUESTS_PER_SLOT, slots * PLAIN_REQUESTS_PER_SLOT / entries));
				}

				lane.dispatch();
			}
		},
		list: () => flows,
	};
}
