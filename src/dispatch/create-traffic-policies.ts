/** Connects admission, routing and the retry budget to the agent links, whose load reports they use. */
import type {Clock} from '../core/clock.js';
import {createAdmission} from '../decisions/admission/create-admission.js';
import type {RandomSource} from '../decisions/random.js';
import {createRetryBudget} from '../decisions/retry/retry-budget.js';
import type {Candidate, RoutingRequest} from '../decisions/routing/candidate.js';
import {chooseBackendServer} from '../decisions/routing/choose-backend-server.js';
import {estimateNominalMillis, estimatePrefillMillis} from '../decisions/routing/first-token-cost.js';
import {createLoadView, type AttemptExpectation} from '../decisions/routing/load-view.js';
import type {PrefixCacheEvent} from '../decisions/routing/cached-prefix-estimate.js';
import type {LoadReportInput} from '../decisions/routing/server-record.js';
import type {LinkObserver} from '../ports/agent-link.js';
import type {LoadReport} from '../wire/generated/link.js';
import type {CallRequest} from './call-request.js';
import type {TrafficPolicies} from './traffic-policies.js';

/** Traffic policies and the link observer that feeds them with load reports. */
export type ConnectedTrafficPolicies = Readonly<{policies: TrafficPolicies; observer: LinkObserver}>;

export type TrafficPoliciesDeps = Readonly<{clock: Clock; random: RandomSource; failureDomain: string}>;

/** Number of running requests; the agent's `inFlight` includes the queued ones. */
function countRunning({inFlight, queued}: LoadReport): number {
	return Math.max(0, inFlight - queued);
}

function toLoadInput(report: LoadReport): LoadReportInput {
	const gap: readonly PrefixCacheEvent[] = report.cacheGap ? [{tag: 'gap'}] : [];
	const events = report.cacheEvents.map(event => ({
		tag: event.evicted ? 'evicted' as const : 'cached' as const,
		digest: event.prefixDigest,
	}));
	return {
		running: countRunning(report),
		queued: report.queued,
		ageMillis: report.ageMillis,
		cacheEvents: [...gap, ...events],
	};
}

function expectAttempt(candidate: Candidate | undefined, req: CallRequest, routing: RoutingRequest): AttemptExpectation {
	return {
		nominalMillis: candidate ? estimateNominalMillis(candidate, routing) : 0,
		prefillMillis: candidate ? estimatePrefillMillis(candidate, routing) : 0,
		prefixDigests: req.prefixes.map(prefix => prefix.digest),
	};
}

/** Creates traffic policies that have no load report yet. */
export function createTrafficPolicies({clock, random, failureDomain}: TrafficPoliciesDeps): ConnectedTrafficPolicies {
	const view = createLoadView(clock);
	const admission = createAdmission({clock, random});
	const budget = createRetryBudget({clock, random});
	const reports = new Map<string, Readonly<{service: string; report: LoadReport; atMillis: number}>>();

	function toRoutingRequest(req: CallRequest): RoutingRequest {
		const nowMillis = clock.monotonicMillis();
		return {
			prefixes: req.prefixes,
			promptTokens: req.promptTokens,
			failureDomain,
			priority: req.workClass.priority,
			remainingMillis: Math.max(0, req.deadlineMillis - nowMillis),
			nowMillis,
		};
	}

	function findCandidate(agentId: string): Candidate | undefined {
		return view.listCandidates([agentId])[0];
	}

	function recordServiceLoad(service: string): void {
		const nowMillis = clock.monotonicMillis();
		const serviceReports = [...reports.values()].filter(item => item.service === service);
		admission.noteServiceLoad(service, {
			running: serviceReports.reduce((sum, item) => sum + countRunning(item.report), 0),
			queued: serviceReports.reduce((sum, item) => sum + item.report.queued, 0),
			backendServers: serviceReports.length,
			// The mean age, so that a single stale report does not freeze the limit of the service.
			ageMillis: serviceReports.reduce((sum, item) => sum + item.report.ageMillis + nowMillis - item.atMillis, 0) / Math.max(1, serviceReports.length),
		});
	}

	return {
		policies: {
			async admit(req, signal) {
				budget.noteRequest(req.workClass.name);
				const remainingMillis = Math.max(0, req.deadlineMillis - clock.monotonicMillis());
				return admission.admit({account: req.account, workClass: req.workClass, remainingMillis}, signal);
			},
			chooseLink(links, req) {
				const candidates = view.listCandidates(links.map(link => link.hello.instanceId));
				const chosen = chooseBackendServer(candidates, toRoutingRequest(req), random);
				return links.find(link => link.hello.instanceId === chosen?.agentId);
			},
			trackAttempt(link, req) {
				const candidate = findCandidate(link.hello.instanceId);
				return view.startAttempt(link.hello.instanceId, expectAttempt(candidate, req, toRoutingRequest(req)));
			},
			decideRetry: (req, retries) => budget.decide({
				workClass: req.workClass.name,
				retries,
				remainingMillis: Math.max(0, req.deadlineMillis - clock.monotonicMillis()),
			}),
		},
		observer: {
			onOpen(hello) {
				view.addBackendServer(hello.instanceId, hello.failureDomain);
			},
			onReport(hello, report) {
				view.noteReport(hello.instanceId, toLoadInput(report));
				reports.set(hello.instanceId, {service: hello.service, report, atMillis: clock.monotonicMillis()});
				recordServiceLoad(hello.service);
			},
			onClosed(hello) {
				view.removeBackendServer(hello.instanceId);
				reports.delete(hello.instanceId);
			},
		},
	};
}
