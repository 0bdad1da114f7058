import type {Clock} from '../../src/core/clock.js';
import {createSeededRandom} from '../../src/decisions/random.js';
import type {RoutingRequest} from '../../src/decisions/routing/candidate.js';
import {chooseBackendServer} from '../../src/decisions/routing/choose-backend-server.js';
import {estimateNominalMillis, estimatePrefillMillis} from '../../src/decisions/routing/first-token-cost.js';
import {createLoadView} from '../../src/decisions/routing/load-view.js';
import type {TrackedAttempt} from '../../src/decisions/routing/server-record.js';
import type {DeliveredReport} from './engine-feed.js';

/** The chosen engine, by index, and the tracker that the attempt reports to. */
export type RoutedAttempt = Readonly<{engine: number; attempt: TrackedAttempt}>;

/** Router of one entry under one policy. */
export type EntryRouter = Readonly<{
	noteReport: (engine: number, report: DeliveredReport) => void;
	route: (req: RoutingRequest) => RoutedAttempt;
}>;

/** A routing policy under its name in the reports; `entry` is the index of the entry, from 0. */
export type RoutingPolicy = Readonly<{
	name: string;
	createRouter: (clock: Clock, engines: readonly EngineIdentity[], entry: number, seed: number) => EntryRouter;
}>;

export type EngineIdentity = Readonly<{agentId: string; failureDomain: string}>;

const untrackedAttempt: TrackedAttempt = {
	noteFirstToken() {
		// This policy does not track its attempts.
	},
	noteProgress() {
		// This policy does not track its attempts.
	},
	end() {
		// This policy does not track its attempts.
	},
};

const roundRobin: RoutingPolicy = {
	name: 'round-robin',
	createRouter(_clock, engines, entry) {
		let next = entry * 2;
		return {
			noteReport() {
				// This policy ignores load reports.
			},
			route() {
				next += 1;
				return {engine: next % engines.length, attempt: untrackedAttempt};
			},
		};
	},
};

const leastReportedLoad: RoutingPolicy = {
	name: 'least-reported-load',
	createRouter(_clock, engines, entry, seed) {
		const random = createSeededRandom(seed + entry);
		const loads = engines.map(() => 0);
		return {
			noteReport(engine, report) {
				loads[engine] = report.load.running + report.load.queued;
			},
			route() {
				const lowest = Math.min(...loads);
				const ties = loads.flatMap((load, engine) => load === lowest ? [engine] : []);
				return {engine: ties[Math.floor(random() * ties.length)] ?? 0, attempt: untrackedAttempt};
			},
		};
	},
};

const pollenport: RoutingPolicy = {
	name: 'pollenport',
	createRouter(clock, engines, entry, seed) {
		const random = createSeededRandom(seed + entry);
		const view = createLoadView(clock);
		const agentIds = engines.map(engine => engine.agentId);
		for (const {agentId, failureDomain} of engines) {
			view.addBackendServer(agentId, failureDomain);
		}

		return {
			noteReport(engine, {load, ageMillis, cacheEvents}) {
				const {running, queued} = load;
				view.noteReport(agentIds[engine] ?? '', {
					running, queued, ageMillis, cacheEvents,
				});
			},
			route(req) {
				const chosen = chooseBackendServer(view.listCandidates(agentIds), req, random);
				if (!chosen) {
					return {engine: 0, attempt: untrackedAttempt};
				}

				const attempt = view.startAttempt(chosen.agentId, {
					nominalMillis: estimateNominalMillis(chosen, req),
					prefillMillis: estimatePrefillMillis(chosen, req),
					prefixDigests: req.prefixes.map(prefix => prefix.digest),
				});
				return {engine: agentIds.indexOf(chosen.agentId), attempt};
			},
		};
	},
};

/** The baselines, then Pollenport's own routing. */
export const routingPolicies: readonly RoutingPolicy[] = [roundRobin, leastReportedLoad, pollenport];
