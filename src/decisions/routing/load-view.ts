import type {Clock} from '../../core/clock.js';
import type {InstanceId} from '../../core/ids.js';
import type {Candidate, LoadObservation} from './candidate.js';
import {
	noPrefixBelief, updatePrefixBelief, type PrefixBelief, type PrefixNews,
} from './prefix-belief.js';

/** Time without a heartbeat after which a backend server counts as stalled. */
const HEARTBEAT_LIMIT_MILLIS = 3000;
/** Time without progress, while own attempts run, after which a backend server counts as stalled. */
const PROGRESS_LIMIT_MILLIS = 1500;
/** Weight of the latest measurement in the slow factor. */
const SLOW_FACTOR_WEIGHT = 0.1;
/** Bounds of one measurement of the slow factor. */
const SLOW_FACTOR_BOUNDS = {lowest: 0.25, highest: 20};
/** Time in which a slow factor that is not measured any more comes back half the way to 1. */
const SLOW_FACTOR_HALF_LIFE_MILLIS = 20_000;

/** A load report as it came in. */
export type LoadReportInput = Readonly<{
	running: number;
	queued: number;
	stepMillis: number;
	/** Age of the backend server's own report when it came in. */
	ageMillis: number;
	cacheNews: readonly PrefixNews[];
}>;

/** An own attempt at one backend server; each of its methods is called in the order of what happens. */
export type TrackedAttempt = Readonly<{
	/** The first token or byte came. */
	noteFirstToken: () => void;
	/** Any later token came. */
	noteProgress: () => void;
	/** The attempt ended in any way. Further calls have no effect. */
	end: () => void;
}>;

/** What an entry knows about the load of the backend servers it has links to. */
export type LoadView = Readonly<{
	/** Adds a backend server, or renews it with an empty record after it came back. */
	addBackendServer: (agentId: InstanceId, failureDomain: string) => void;
	removeBackendServer: (agentId: InstanceId) => void;
	/** Takes a load report; it is a heartbeat too. */
	noteReport: (agentId: InstanceId, report: LoadReportInput) => void;
	/**
	 * Records that an own attempt starts now. `expectedMillis` comes from `estimateNominalMillis`; `digests` are the
	 * prefixes of its prompt.
	 */
	startAttempt: (agentId: InstanceId, expectedMillis: number, digests: readonly string[]) => TrackedAttempt;
	/** The backend servers of `agentIds` as candidates; those not known are left out. */
	listCandidates: (agentIds: readonly InstanceId[]) => readonly Candidate[];
}>;

type Attempt = {
	readonly startedAtMillis: number;
	readonly expectedMillis: number;
	hasFirstToken: boolean;
};

type Server = {
	readonly agentId: InstanceId;
	readonly failureDomain: string;
	load: LoadObservation | undefined;
	prefixes: PrefixBelief;
	slowFactor: number;
	slowFactorAtMillis: number;
	heardAtMillis: number;
	progressAtMillis: number;
	readonly attempts: Set<Attempt>;
	/** Start times of own attempts that ended since the report was measured. */
	ended: ReadonlyArray<Readonly<{startedAtMillis: number; endedAtMillis: number}>>;
};

function readSlowFactor(server: Server, nowMillis: number): number {
	const halves = (nowMillis - server.slowFactorAtMillis) / SLOW_FACTOR_HALF_LIFE_MILLIS;
	return 1 + ((server.slowFactor - 1) * (2 ** -halves));
}

function noteFirstTokenTime(server: Server, attempt: Attempt, nowMillis: number): void {
	const ratio = (nowMillis - attempt.startedAtMillis) / Math.max(1, attempt.expectedMillis);
	const measured = Math.min(SLOW_FACTOR_BOUNDS.highest, Math.max(SLOW_FACTOR_BOUNDS.lowest, ratio));
	const before = readSlowFactor(server, nowMillis);
	server.slowFactor = before + ((measured - before) * SLOW_FACTOR_WEIGHT);
	server.slowFactorAtMillis = nowMillis;
}

function isStalled(server: Server, nowMillis: number): boolean {
	if (nowMillis - server.heardAtMillis > HEARTBEAT_LIMIT_MILLIS) {
		return true;
	}

	return server.attempts.size > 0 && nowMillis - server.progressAtMillis > PROGRESS_LIMIT_MILLIS;
}

function readOldestWait(server: Server, nowMillis: number): number {
	let oldestMillis = 0;
	for (const attempt of server.attempts) {
		if (!attempt.hasFirstToken) {
			oldestMillis = Math.max(oldestMillis, nowMillis - attempt.startedAtMillis);
		}
	}

	return oldestMillis;
}

function countStartedSince(server: Server, sinceMillis: number): number {
	let count = 0;
	for (const attempt of server.attempts) {
		count += attempt.startedAtMillis > sinceMillis ? 1 : 0;
	}

	return count;
}

function toCandidate(server: Server, nowMillis: number): Candidate {
	const sinceMillis = server.load?.measuredAtMillis ?? -Infinity;
	return {
		agentId: server.agentId,
		failureDomain: server.failureDomain,
		ownInFlight: server.attempts.size,
		ownStartedSinceReport: countStartedSince(server, sinceMillis),
		ownEndedSinceReport: server.ended.filter(item => item.startedAtMillis <= sinceMillis).length,
		load: server.load,
		oldestWaitMillis: readOldestWait(server, nowMillis),
		slowFactor: readSlowFactor(server, nowMillis),
		stalled: isStalled(server, nowMillis),
		prefixes: server.prefixes,
	};
}

function createServer(agentId: InstanceId, failureDomain: string, nowMillis: number): Server {
	return {
		agentId,
		failureDomain,
		load: undefined,
		prefixes: noPrefixBelief,
		slowFactor: 1,
		slowFactorAtMillis: nowMillis,
		heardAtMillis: nowMillis,
		progressAtMillis: nowMillis,
		attempts: new Set(),
		ended: [],
	};
}

function applyReport(server: Server, report: LoadReportInput, nowMillis: number): void {
	const measuredAtMillis = nowMillis - report.ageMillis;
	server.heardAtMillis = nowMillis;
	server.load = {
		running: report.running, queued: report.queued, stepMillis: report.stepMillis, measuredAtMillis,
	};
	server.ended = server.ended.filter(item => item.endedAtMillis > measuredAtMillis);
	server.prefixes = updatePrefixBelief(server.prefixes, report.cacheNews, nowMillis);
}

function trackAttempt(server: Server, expectedMillis: number, clock: Clock): TrackedAttempt {
	const startedAtMillis = clock.monotonicMillis();
	const attempt: Attempt = {startedAtMillis, expectedMillis, hasFirstToken: false};
	if (server.attempts.size === 0) {
		server.progressAtMillis = startedAtMillis;
	}

	server.attempts.add(attempt);
	return {
		noteFirstToken() {
			const nowMillis = clock.monotonicMillis();
			server.progressAtMillis = nowMillis;
			if (!attempt.hasFirstToken) {
				attempt.hasFirstToken = true;
				noteFirstTokenTime(server, attempt, nowMillis);
			}
		},
		noteProgress() {
			server.progressAtMillis = clock.monotonicMillis();
		},
		end() {
			if (server.attempts.delete(attempt)) {
				server.ended = [...server.ended, {startedAtMillis, endedAtMillis: clock.monotonicMillis()}];
			}
		},
	};
}

const untrackedAttempt: TrackedAttempt = {
	noteFirstToken() {
		// The backend server is not known any more.
	},
	noteProgress() {
		// The backend server is not known any more.
	},
	end() {
		// The backend server is not known any more.
	},
};

/** Creates a view that knows no backend server yet. */
export function createLoadView(clock: Clock): LoadView {
	const servers = new Map<InstanceId, Server>();

	return {
		addBackendServer(agentId, failureDomain) {
			servers.set(agentId, createServer(agentId, failureDomain, clock.monotonicMillis()));
		},
		removeBackendServer(agentId) {
			servers.delete(agentId);
		},
		noteReport(agentId, report) {
			const server = servers.get(agentId);
			if (server) {
				applyReport(server, report, clock.monotonicMillis());
			}
		},
		startAttempt(agentId, expectedMillis, digests) {
			const server = servers.get(agentId);
			if (!server) {
				return untrackedAttempt;
			}

			const news: readonly PrefixNews[] = digests.length > 0 ? [{tag: 'requested', digests}] : [];
			server.prefixes = updatePrefixBelief(server.prefixes, news, clock.monotonicMillis());
			return trackAttempt(server, expectedMillis, clock);
		},
		listCandidates(agentIds) {
			const nowMillis = clock.monotonicMillis();
			return agentIds.flatMap(agentId => {
				const server = servers.get(agentId);
				return server ? [toCandidate(server, nowMillis)] : [];
			});
		},
	};
}
