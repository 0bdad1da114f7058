import type {Clock} from '../../core/clock.js';
import type {InstanceId} from '../../core/ids.js';
import type {Candidate} from './candidate.js';
import {
	createServerRecord, noteReport, startAttempt, toCandidate, type AttemptMeans, type LoadReportInput, type ServerRecord, type TrackedAttempt,
} from './server-record.js';

/** Expected cost of an attempt at the backend server it is sent to; see `first-token-cost.ts`. */
export type AttemptExpectation = Readonly<{
	/** From `estimateNominalMillis`. */
	nominalMillis: number;
	/** From `estimatePrefillMillis`. */
	prefillMillis: number;
	/** Digests of the prefixes of its prompt. */
	prefixDigests: readonly string[];
}>;

/** Estimates the load of the backend servers that an entry is linked to. */
export type LoadView = Readonly<{
	/** Adds a backend server, or resets its record after it has reconnected. */
	addBackendServer: (agentId: InstanceId, failureDomain: string) => void;
	removeBackendServer: (agentId: InstanceId) => void;
	/** Records a load report, which is also a heartbeat. */
	noteReport: (agentId: InstanceId, report: LoadReportInput) => void;
	/** Records that this entry starts an attempt now. */
	startAttempt: (agentId: InstanceId, expectation: AttemptExpectation) => TrackedAttempt;
	/** Lists the backend servers of `agentIds` as candidates, omitting unknown ones. */
	listCandidates: (agentIds: readonly InstanceId[]) => readonly Candidate[];
}>;

/** Assumed time in flight of a request before the first measurement. */
const INITIAL_HOLD_MILLIS = 1000;
/** Weight of the latest attempt in the moving averages over all backend servers. */
const MEAN_WEIGHT = 0.02;

const untrackedAttempt: TrackedAttempt = {
	noteFirstToken() {
		// The backend server has been removed.
	},
	noteProgress() {
		// The backend server has been removed.
	},
	end() {
		// The backend server has been removed.
	},
};

function computeMeanOthersInFlight(records: readonly ServerRecord[]): number {
	const reported = records.flatMap(record => record.report ? [record.report.othersInFlight] : []);
	let total = 0;
	for (const value of reported) {
		total += value;
	}

	return reported.length === 0 ? 0 : total / reported.length;
}

/** Creates a view without backend servers. */
export function createLoadView(clock: Clock): LoadView {
	const records = new Map<InstanceId, ServerRecord>();
	let heldMillis = INITIAL_HOLD_MILLIS;

	let slowFactor = 1;
	const means: AttemptMeans = {
		noteHoldTime(millis) {
			heldMillis += (millis - heldMillis) * MEAN_WEIGHT;
		},
		noteSlowRatio(ratio) {
			const before = slowFactor;
			slowFactor += (ratio - slowFactor) * MEAN_WEIGHT;
			return before;
		},
	};

	return {
		addBackendServer(agentId, failureDomain) {
			records.set(agentId, createServerRecord(agentId, failureDomain, clock.monotonicMillis()));
		},
		removeBackendServer(agentId) {
			records.delete(agentId);
		},
		noteReport(agentId, report) {
			const record = records.get(agentId);
			if (record) {
				noteReport(record, report, clock.monotonicMillis());
			}
		},
		startAttempt(agentId, expectation) {
			const record = records.get(agentId);
			return record ? startAttempt(record, expectation, clock, means) : untrackedAttempt;
		},
		listCandidates(agentIds) {
			const nowMillis = clock.monotonicMillis();
			const known = agentIds.flatMap(agentId => records.get(agentId) ?? []);
			const mean = {othersInFlight: computeMeanOthersInFlight(known), heldMillis, slowFactor};
			return known.map(record => toCandidate(record, mean, nowMillis));
		},
	};
}
