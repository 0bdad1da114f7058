/** Connects the deciders to the links: load reports go in, choices come out. */
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

/** Deciders and the observer that feeds them. */
export type ConnectedTrafficPolicies = Readonly<{policies: TrafficPolicies; observer: LinkObserver}>;

/** What the deciders need of their process. */
export type TrafficPoliciesDeps = Readonly<{clock: Clock; random: RandomSource; failureDomain: string}>;

/** Requests at work; those in flight at the agent include the queued ones. */
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

/** Creates deciders that have seen no load yet. */
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

	function noteServiceLoad(service: string): void {
		const nowMillis = clock.monotonicMillis();
		const own = [...reports.values()].filter(item => item.service === service);
		admission.noteServiceLoad(service, {
			running: own.reduce((sum, item) => sum + countRunning(item.report), 0),
			queued: own.reduce((sum, item) => sum + item.report.queued, 0),
			backendServers: own.length,
			// The mean: one old report must not hold the limit of the service.
			ageMillis: own.reduce((sum, item) => sum + item.report.ageMillis + nowMillis - item.atMillis, 0) / Math.max(1, own.length),
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
				noteServiceLoad(hello.service);
			},
			onClosed(hello) {
				view.removeBackendServer(hello.instanceId);
				reports.delete(hello.instanceId);
			},
		},
	};
}
