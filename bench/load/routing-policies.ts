import type {Clock} from '../../src/core/clock.js';
import {createSeededRandom} from '../../src/decisions/random.js';
import type {RoutingRequest} from '../../src/decisions/routing/candidate.js';
import {chooseBackendServer} from '../../src/decisions/routing/choose-backend-server.js';
import {estimateNominalMillis, estimatePrefillMillis} from '../../src/decisions/routing/first-token-cost.js';
import {createLoadView} from '../../src/decisions/routing/load-view.js';
import type {TrackedAttempt} from '../../src/decisions/routing/server-record.js';
import type {DeliveredReport} from './engine-feed.js';

/** A choice of an engine and what to tell about the attempt. */
export type RoutedAttempt = Readonly<{engine: number; attempt: TrackedAttempt}>;

/** Routing of one entry under one policy. */
export type EntryRouter = Readonly<{
	noteReport: (engine: number, report: DeliveredReport) => void;
	route: (req: RoutingRequest) => RoutedAttempt;
}>;

/** A named way to route; `entry` numbers the entry from 0. */
export type RoutingPolicy = Readonly<{
	name: string;
	createRouter: (clock: Clock, engines: readonly PlacedEngine[], entry: number, seed: number) => EntryRouter;
}>;

/** An engine and where it is. */
export type PlacedEngine = Readonly<{agentId: string; failureDomain: string}>;

const untracked: TrackedAttempt = {
	noteFirstToken() {
		// This policy learns nothing from its attempts.
	},
	noteProgress() {
		// This policy learns nothing from its attempts.
	},
	end() {
		// This policy learns nothing from its attempts.
	},
};

const roundRobin: RoutingPolicy = {
	name: 'round-robin',
	createRouter(_clock, engines, entry) {
		let next = entry * 2;
		return {
			noteReport() {
				// Reports are not used.
			},
			route() {
				next += 1;
				return {engine: next % engines.length, attempt: untracked};
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
				return {engine: ties[Math.floor(random() * ties.length)] ?? 0, attempt: untracked};
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
			noteReport(engine, {load, ageMillis, cacheNews}) {
				const {running, queued} = load;
				view.noteReport(agentIds[engine] ?? '', {
					running, queued, ageMillis, cacheEvents: cacheNews,
				});
			},
			route(req) {
				const chosen = chooseBackendServer(view.listCandidates(agentIds), req, random);
				if (!chosen) {
					return {engine: 0, attempt: untracked};
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

/** The baselines and the product's own routing. */
export const routingPolicies: readonly RoutingPolicy[] = [roundRobin, leastReportedLoad, pollenport];
