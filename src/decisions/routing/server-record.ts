import type {Clock} from '../../core/clock.js';
import type {InstanceId} from '../../core/ids.js';
import type {Candidate} from './candidate.js';
import type {AttemptExpectation} from './load-view.js';
import {
	noPrefixBelief, updatePrefixBelief, type PrefixBelief, type PrefixNews,
} from './prefix-belief.js';
import {
	addSlowRatio, computeSlowRatio, readSlowFactor, type SlowFactor,
} from './slow-factor.js';

/** Time without a heartbeat after which a backend server counts as stalled. */
const HEARTBEAT_TIMEOUT_MILLIS = 3000;
/** Time without progress, while own attempts are running, after which a backend server counts as stalled. */
const PROGRESS_TIMEOUT_MILLIS = 1500;

/** Largest number of ended attempts kept until the next report; bounds memory when no report arrives. */
const MAX_ENDED_ATTEMPTS = 1000;

/** A load report as received. */
export type LoadReportInput = Readonly<{
	running: number;
	queued: number;
	/** Age of the backend server's measurement when the report was received. */
	ageMillis: number;
	cacheNews: readonly PrefixNews[];
}>;

/** An own attempt at one backend server; its methods record its progress. */
export type TrackedAttempt = Readonly<{
	/** Records the first token or byte. */
	noteFirstToken: () => void;
	/** Records any later token or byte. */
	noteProgress: () => void;
	/** Records the end of the attempt, whatever its outcome. Further calls have no effect. */
	end: () => void;
}>;

/** Means over all backend servers. */
export type UsualLoad = Readonly<{othersInFlight: number; heldMillis: number; slowFactor: number}>;

/** Moving averages over all own attempts. */
export type AttemptMeans = Readonly<{
	noteHeld: (millis: number) => void;
	/** Returns the mean ratio before this one was added. */
	noteSlowRatio: (ratio: number) => number;
}>;

type Attempt = {
	readonly startedAtMillis: number;
	readonly expectation: AttemptExpectation;
	hasFirstToken: boolean;
};

type EndedAttempt = Readonly<{startedAtMillis: number; endedAtMillis: number}>;

type ReportedLoad = Readonly<{othersInFlight: number; queued: number; measuredAtMillis: number}>;

/** State of one backend server; changed only by the functions of this module. */
export type ServerRecord = {
	readonly agentId: InstanceId;
	readonly failureDomain: string;
	report: ReportedLoad | undefined;
	prefixes: PrefixBelief;
	slowFactor: SlowFactor | undefined;
	heardAtMillis: number;
	progressAtMillis: number;
	readonly running: Set<Attempt>;
	/** Own attempts that have ended since the last report was measured. */
	ended: EndedAttempt[];
};

/** Creates a record of a backend server without reports. */
export function createServerRecord(agentId: InstanceId, failureDomain: string, nowMillis: number): ServerRecord {
	return {
		agentId,
		failureDomain,
		report: undefined,
		prefixes: noPrefixBelief,
		slowFactor: undefined,
		heardAtMillis: nowMillis,
		progressAtMillis: nowMillis,
		running: new Set(),
		ended: [],
	};
}

/** Counts the own attempts that were in flight at a time since the last report. */
function countOwnAttemptsAt(record: ServerRecord, atMillis: number): number {
	let count = 0;
	for (const attempt of record.running) {
		count += attempt.startedAtMillis <= atMillis ? 1 : 0;
	}

	for (const attempt of record.ended) {
		count += attempt.startedAtMillis <= atMillis && attempt.endedAtMillis > atMillis ? 1 : 0;
	}

	return count;
}

/** Records a load report. */
export function noteReport(record: ServerRecord, input: LoadReportInput, nowMillis: number): void {
	const measuredAtMillis = nowMillis - input.ageMillis;
	const own = countOwnAttemptsAt(record, measuredAtMillis);
	record.heardAtMillis = nowMillis;
	record.report = {othersInFlight: Math.max(0, input.running + input.queued - own), queued: input.queued, measuredAtMillis};
	record.ended = record.ended.filter(attempt => attempt.endedAtMillis > measuredAtMillis);
	record.prefixes = updatePrefixBelief(record.prefixes, input.cacheNews, nowMillis);
}

function addRunning(record: ServerRecord, attempt: Attempt): void {
	const nowMillis = attempt.startedAtMillis;
	const digests = attempt.expectation.prefixDigests;
	if (record.running.size === 0) {
		record.progressAtMillis = nowMillis;
	}

	record.running.add(attempt);
	record.prefixes = updatePrefixBelief(record.prefixes, digests.length > 0 ? [{tag: 'requested', digests}] : [], nowMillis);
}

/** Records that an own attempt starts now. */
export function startAttempt(record: ServerRecord, expectation: AttemptExpectation, clock: Clock, means: AttemptMeans): TrackedAttempt {
	const startedAtMillis = clock.monotonicMillis();
	const attempt: Attempt = {startedAtMillis, expectation, hasFirstToken: false};
	addRunning(record, attempt);
	return {
		noteFirstToken() {
			const nowMillis = clock.monotonicMillis();
			record.progressAtMillis = nowMillis;
			if (!attempt.hasFirstToken) {
				attempt.hasFirstToken = true;
				const ratio = computeSlowRatio(nowMillis - startedAtMillis, expectation.nominalMillis);
				record.slowFactor = addSlowRatio(record.slowFactor, ratio, means.noteSlowRatio(ratio), nowMillis);
			}
		},
		noteProgress() {
			record.progressAtMillis = clock.monotonicMillis();
		},
		end() {
			if (record.running.delete(attempt)) {
				const endedAtMillis = clock.monotonicMillis();
				record.ended.push({startedAtMillis, endedAtMillis});
				if (record.ended.length > MAX_ENDED_ATTEMPTS) {
					record.ended.shift();
				}

				means.noteHeld(endedAtMillis - startedAtMillis);
			}
		},
	};
}

function isStalled(record: ServerRecord, nowMillis: number): boolean {
	if (nowMillis - record.heardAtMillis > HEARTBEAT_TIMEOUT_MILLIS) {
		return true;
	}

	return record.running.size > 0 && nowMillis - record.progressAtMillis > PROGRESS_TIMEOUT_MILLIS;
}

function readWaiting(record: ServerRecord, nowMillis: number): Readonly<{ownPromptMillis: number; oldestWaitMillis: number}> {
	let ownPromptMillis = 0;
	let oldestWaitMillis = 0;
	for (const attempt of record.running) {
		if (!attempt.hasFirstToken) {
			ownPromptMillis += attempt.expectation.promptMillis;
			oldestWaitMillis = Math.max(oldestWaitMillis, nowMillis - attempt.startedAtMillis);
		}
	}

	return {ownPromptMillis, oldestWaitMillis};
}

/** Weight of the last report: 1 when it is new, decaying as the requests it counted are expected to have ended. */
function readReportWeight(record: ServerRecord, heldMillis: number, nowMillis: number): number {
	return record.report ? Math.exp((record.report.measuredAtMillis - nowMillis) / heldMillis) : 0;
}

/** Returns the backend server as a candidate. */
export function toCandidate(record: ServerRecord, mean: UsualLoad, nowMillis: number): Candidate {
	const slowFactor = readSlowFactor(record.slowFactor, mean.slowFactor, nowMillis);
	const heldMillis = mean.heldMillis * (slowFactor / mean.slowFactor);
	const weight = readReportWeight(record, heldMillis, nowMillis);
	const others = record.report?.othersInFlight ?? mean.othersInFlight;
	return {
		agentId: record.agentId,
		failureDomain: record.failureDomain,
		ownInFlight: record.running.size,
		...readWaiting(record, nowMillis),
		othersInFlight: mean.othersInFlight + ((others - mean.othersInFlight) * weight),
		queued: (record.report?.queued ?? 0) * weight,
		slowFactor,
		stalled: isStalled(record, nowMillis),
		prefixes: record.prefixes,
	};
}
