import type {Clock} from '../../core/clock.js';
import type {InstanceId} from '../../core/ids.js';
import type {Candidate} from './candidate.js';
import {
	createServerRecord, noteReport, startAttempt, toCandidate, type AttemptMeans, type LoadReportInput, type ServerRecord, type TrackedAttempt,
} from './server-record.js';

/** What the attempt is expected to take where it is sent; see `first-token-cost.ts`. */
export type AttemptExpectation = Readonly<{
	/** From `estimateNominalMillis`. */
	nominalMillis: number;
	/** From `estimatePromptMillis`. */
	prefillMillis: number;
	/** Digests of the prefixes of its prompt. */
	prefixDigests: readonly string[];
}>;

/** What an entry knows about the load of the backend servers it has links to. */
export type LoadView = Readonly<{
	/** Adds a backend server, or renews it with an empty record after it came back. */
	addBackendServer: (agentId: InstanceId, failureDomain: string) => void;
	removeBackendServer: (agentId: InstanceId) => void;
	/** Takes a load report; it is a heartbeat too. */
	noteReport: (agentId: InstanceId, report: LoadReportInput) => void;
	/** Records that an own attempt starts now. */
	startAttempt: (agentId: InstanceId, expectation: AttemptExpectation) => TrackedAttempt;
	/** The backend servers of `agentIds` as candidates; those not known are left out. */
	listCandidates: (agentIds: readonly InstanceId[]) => readonly Candidate[];
}>;

/** Time that a request is in flight, until one has been measured. */
const INITIAL_HELD_MILLIS = 1000;
/** Weight of the latest attempt in the means over all. */
const MEAN_WEIGHT = 0.02;

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

function meanOthers(records: readonly ServerRecord[]): number {
	const reported = records.flatMap(record => record.report ? [record.report.othersInFlight] : []);
	let total = 0;
	for (const value of reported) {
		total += value;
	}

	return reported.length === 0 ? 0 : total / reported.length;
}

/** Creates a view that knows no backend server yet. */
export function createLoadView(clock: Clock): LoadView {
	const records = new Map<InstanceId, ServerRecord>();
	let heldMillis = INITIAL_HELD_MILLIS;

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
			const usual = {othersInFlight: meanOthers(known), heldMillis, slowFactor};
			return known.map(record => toCandidate(record, usual, nowMillis));
		},
	};
}
