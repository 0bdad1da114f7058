/** Flow control per service: concurrency limit, permit queue and retry budget. */
import type {Clock} from '../core/clock.js';
import {createFirstByteEstimate, type FirstByteEstimate} from '../decisions/admission/first-byte-estimate.js';
import {createPermitQueue, type PermitQueue} from '../decisions/flow/permit-queue.js';
import {PLAIN_REQUESTS_PER_SLOT} from '../decisions/flow/flow-constants.js';
import {createOutageDetector, type OutageDetector} from '../decisions/flow/outage-detector.js';
import {createPromptLoad, type PromptLoad} from '../decisions/flow/prompt-load.js';
import {createPromptSizes, type PromptSizes} from '../decisions/flow/prompt-sizes.js';
import {createServiceAvailability, type ServiceAvailability} from '../decisions/flow/service-return.js';
import {createStreamConcurrencyLimit, type StreamConcurrencyLimit} from '../decisions/flow/stream-concurrency-limit.js';
import type {RandomSource} from '../decisions/random.js';
import {sum} from '../decisions/sum.js';
import {createSharedRetryBudget, type SharedRetryBudgetOptions, type SharedRetryBudget} from '../decisions/retry/shared-retry-budget.js';
import type {PermitExchange, PermitPool} from '../membership/permit-exchange.js';
import type {EngineFigures, RoutingConfiguration} from '../routing/routing-configuration.js';
import {listServicePriorities} from '../routing/service-priorities.js';
import type {BackendServer} from './backend-server.js';
import type {BackendServers} from './backend-server-list.js';

/** Flow control state shared by all requests to one service. */
export type ServiceFlow = Readonly<{
	permitQueue: PermitQueue;
	/** Priorities with which requests may be sent to the service, the most urgent first. */
	readPriorities: () => readonly number[];
	concurrencyLimit: StreamConcurrencyLimit;
	retryBudget: SharedRetryBudget;
	/** Estimate of the time from sending a request to the first byte of its answer. */
	firstByteEstimate: FirstByteEstimate;
	outageDetector: OutageDetector;
	availability: ServiceAvailability;
	promptSizes: PromptSizes;
	promptLoad: PromptLoad;
	/** Maximum number of idle connections that this process keeps to one backend server. */
	readMaxIdleConnections: () => number;
}>;

/** The flows of all services. */
export type ServiceFlows = Readonly<{
	read: (service: string) => ServiceFlow;
	/** Recomputes the limits from the backend servers, the configuration and the number of entries that share the servers. */
	update: (servers: BackendServers, cfg: RoutingConfiguration | undefined) => void;
	list: () => ReadonlyMap<string, ServiceFlow>;
	/** Permits by service, for the services whose permits entries lend each other. */
	listPermitPools: () => ReadonlyMap<string, PermitPool>;
}>;

type Deps = Readonly<{
	clock: Clock;
	random: RandomSource;
	retryBudgetOptions: SharedRetryBudgetOptions;
	/** Number by which this entry divides what the entries share; the number of entries, unless their capacities differ. */
	countEntries: () => number;
	/** Number of entries that divide the retry budgets; they are not always the same. */
	countRetrySharers: () => number;
	/** Whether the operators have evacuated a failure domain; optional. */
	isEvacuated?: (failureDomain: string) => boolean;
	/** Requests of a service in flight in evacuated failure domains, which use no capacity of the other ones; optional. */
	countEvacuatedInFlight?: (service: string) => number;
	/** Whether a backend server gets no requests because its group waits for it in each pass; optional. */
	isSlow?: (server: BackendServer) => boolean;
	/** Loans of permits between the entries; without them, none are lent. */
	loans?: Pick<PermitExchange, 'borrow' | 'countLent'>;
	/** Requests per millisecond that all entries together may send to a cold engine; undefined if it is warm; optional. */
	readColdRate?: (server: string) => number | undefined;
}>;

/** Share of a backend server's maximum connections that all entries together may keep idle. */
const IDLE_CONNECTION_SHARE = 0.6;
/** Time for which a request is assumed to use a slot if its service names no usual size, in milliseconds. */
const DEFAULT_HOLD_MILLIS = 1000;
/** Share of answers whose first byte may arrive later than estimated. */
const ACCEPTED_LATE_SHARE = 0.1;

/** Whether a backend server may get requests of the service: it is ready, so is the rank group whose passes it runs, if any, and its failure domain is not evacuated. */
export function isAvailableForService(server: BackendServer, service: string, isEvacuated: (failureDomain: string) => boolean): boolean {
	return server.service === service && server.state === 'ready' && server.group?.isOpen !== false && !isEvacuated(server.failureDomain);
}

/** Time for which a usual request uses a slot, in milliseconds. */
function estimateHoldMillis(engine: EngineFigures | undefined): number {
	return engine && engine.usualAnswerTokens > 0
		? (engine.usualPromptTokens / engine.prefillTokensPerMilli) + (engine.usualAnswerTokens * engine.stepMillis)
		: DEFAULT_HOLD_MILLIS;
}

/** Creates the flows; the flow of a service is created when it is first read. */
export function createServiceFlows({
	clock, random, retryBudgetOptions, countEntries, countRetrySharers, isEvacuated = () => false, countEvacuatedInFlight = () => 0, loans, readColdRate = () => undefined, isSlow = () => false,
}: Deps): ServiceFlows {
	const flows = new Map<string, ServiceFlow>();
	/** Maximum idle connections to one backend server, by service. */
	const maxIdleByService = new Map<string, number>();
	/** Concurrency limit of this process for each service without an engine. */
	const plainLimitByService = new Map<string, number>();
	const prioritiesByService = new Map<string, readonly number[]>();

	function create(service: string): ServiceFlow {
		const concurrencyLimit = createStreamConcurrencyLimit();
		const readPriorities = () => prioritiesByService.get(service) ?? [];
		const permitQueue = createPermitQueue({
			clock,
			random,
			readLimit: () => (plainLimitByService.get(service) ?? concurrencyLimit.read()) + countEvacuatedInFlight(service),
			hasPriorities: () => readPriorities().length > 1,
			loans: loans && {borrow: wanted => loans.borrow(service, wanted), countLent: () => loans.countLent(service)},
		});
		return {
			permitQueue,
			readPriorities,
			concurrencyLimit,
			retryBudget: createSharedRetryBudget({
				clock, random, options: retryBudgetOptions, countProcesses: countRetrySharers,
			}),
			firstByteEstimate: createFirstByteEstimate(ACCEPTED_LATE_SHARE),
			outageDetector: createOutageDetector(random),
			availability: createServiceAvailability(clock.monotonicMillis()),
			promptSizes: createPromptSizes(),
			promptLoad: createPromptLoad(),
			readMaxIdleConnections: () => maxIdleByService.get(service) ?? 1,
		};
	}

	/** Slots of a backend server that requests can fill: those of a cold one that are in use at the rate at which it gets requests. */
	function countUsableSlots({id, slots}: BackendServer, engine: EngineFigures | undefined): number {
		const coldRate = readColdRate(id);
		return coldRate === undefined ? slots : Math.min(slots, coldRate * estimateHoldMillis(engine));
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
				prioritiesByService.set(name, cfg ? listServicePriorities(cfg, name) : []);
				maxIdleByService.set(name, Math.max(1, Math.floor(maxConnections * IDLE_CONNECTION_SHARE / entries)));
				const ready = [...servers.values()].filter(server => isAvailableForService(server, name, isEvacuated));
				const slots = sum(ready.filter(server => !isSlow(server)).map(server => countUsableSlots(server, engine)));
				const {concurrencyLimit, permitQueue, availability} = read(name);
				availability.note(ready.length > 0, clock.monotonicMillis());
				if (engine) {
					concurrencyLimit.setSlots(slots / entries);
				} else {
					plainLimitByService.set(name, Math.max(PLAIN_REQUESTS_PER_SLOT, slots * PLAIN_REQUESTS_PER_SLOT / entries));
				}

				permitQueue.dispatch();
			}
		},
		list: () => flows,
		listPermitPools: () => new Map([...flows].filter(([, flow]) => flow.readPriorities().length > 1).map(([service, {permitQueue}]) => [service, permitQueue])),
	};
}
