import type {Clock} from '../../core/clock.js';
import type {InstanceId} from '../../core/ids.js';
import type {Candidate} from './candidate.js';
import type {AttemptExpectation} from './load-view.js';
import {
	emptyCachedPrefixEstimate, updateCachedPrefixEstimate, type CachedPrefixEstimate, type PrefixCacheEvent,
} from './cached-prefix-estimate.js';
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
	cacheEvents: readonly PrefixCacheEvent[];
}>;

/** An attempt of this entry at one backend server; its methods record its progress. */
export type TrackedAttempt = Readonly<{
	/** Records the first token or byte. */
	noteFirstToken: () => void;
	/** Records any later token or byte. */
	noteProgress: () => void;
	/** Records the end of the attempt, whatever its outcome. Further calls have no effect. */
	end: () => void;
}>;

/** Means over all backend servers. */
export type MeanLoad = Readonly<{othersInFlight: number; heldMillis: number; slowFactor: number}>;

/** Moving averages over all own attempts. */
export type AttemptMeans = Readonly<{
	noteHoldTime: (millis: number) => void;
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
	prefixes: CachedPrefixEstimate;
	slowFactor: SlowFactor | undefined;
	lastReportAtMillis: number;
	lastProgressAtMillis: number;
	readonly runningAttempts: Set<Attempt>;
	/** Own attempts that have ended since the last report was measured. */
	endedAttempts: EndedAttempt[];
};

/** Creates a record of a backend server without reports. */
export function createServerRecord(agentId: InstanceId, failureDomain: string, nowMillis: number): ServerRecord {
	return {
		agentId,
		failureDomain,
		report: undefined,
		prefixes: emptyCachedPrefixEstimate,
		slowFactor: undefined,
		lastReportAtMillis: nowMillis,
		lastProgressAtMillis: nowMillis,
		runningAttempts: new Set(),
		endedAttempts: [],
	};
}

/** Counts the own attempts that were in flight at a time since the last report. */
function countOwnAttemptsAt(record: ServerRecord, atMillis: number): number {
	let count = 0;
	for (const attempt of record.runningAttempts) {
		count += attempt.startedAtMillis <= atMillis ? 1 : 0;
	}

	for (const attempt of record.endedAttempts) {
		count += attempt.startedAtMillis <= atMillis && attempt.endedAtMillis > atMillis ? 1 : 0;
	}

	return count;
}

/** Records a load report. */
export function noteReport(record: ServerRecord, input: LoadReportInput, nowMillis: number): void {
	const measuredAtMillis = nowMillis - input.ageMillis;
	const own = countOwnAttemptsAt(record, measuredAtMillis);
	record.lastReportAtMillis = nowMillis;
	record.report = {othersInFlight: Math.max(0, input.running + input.queued - own), queued: input.queued, measuredAtMillis};
	record.endedAttempts = record.endedAttempts.filter(attempt => attempt.endedAtMillis > measuredAtMillis);
	record.prefixes = updateCachedPrefixEstimate(record.prefixes, input.cacheEvents, nowMillis);
}

function addRunning(record: ServerRecord, attempt: Attempt): void {
	const nowMillis = attempt.startedAtMillis;
	const digests = attempt.expectation.prefixDigests;
	if (record.runningAttempts.size === 0) {
		record.lastProgressAtMillis = nowMillis;
	}

	record.runningAttempts.add(attempt);
	record.prefixes = updateCachedPrefixEstimate(record.prefixes, digests.length > 0 ? [{tag: 'requested', digests}] : [], nowMillis);
}

/** Records that this entry starts an attempt now. */
export function startAttempt(record: ServerRecord, expectation: AttemptExpectation, clock: Clock, means: AttemptMeans): TrackedAttempt {
	const startedAtMillis = clock.monotonicMillis();
	const attempt: Attempt = {startedAtMillis, expectation, hasFirstToken: false};
	addRunning(record, attempt);
	return {
		noteFirstToken() {
			const nowMillis = clock.monotonicMillis();
			record.lastProgressAtMillis = nowMillis;
			if (!attempt.hasFirstToken) {
				attempt.hasFirstToken = true;
				const ratio = computeSlowRatio(nowMillis - startedAtMillis, expectation.nominalMillis);
				record.slowFactor = addSlowRatio(record.slowFactor, ratio, means.noteSlowRatio(ratio), nowMillis);
			}
		},
		noteProgress() {
			record.lastProgressAtMillis = clock.monotonicMillis();
		},
		end() {
			if (record.runningAttempts.delete(attempt)) {
				const endedAtMillis = clock.monotonicMillis();
				record.endedAttempts.push({startedAtMillis, endedAtMillis});
				if (record.endedAttempts.length > MAX_ENDED_ATTEMPTS) {
					record.endedAttempts.shift();
				}

				means.noteHoldTime(endedAtMillis - startedAtMillis);
			}
		},
	};
}

function isStalled(record: ServerRecord, nowMillis: number): boolean {
	if (nowMillis - record.lastReportAtMillis > HEARTBEAT_TIMEOUT_MILLIS) {
		return true;
	}

	return record.runningAttempts.size > 0 && nowMillis - record.lastProgressAtMillis > PROGRESS_TIMEOUT_MILLIS;
}

function readWaiting(record: ServerRecord, nowMillis: number): Readonly<{ownPrefillMillis: number; oldestWaitMillis: number}> {
	let ownPrefillMillis = 0;
	let oldestWaitMillis = 0;
	for (const attempt of record.runningAttempts) {
		if (!attempt.hasFirstToken) {
			ownPrefillMillis += attempt.expectation.prefillMillis;
			oldestWaitMillis = Math.max(oldestWaitMillis, nowMillis - attempt.startedAtMillis);
		}
	}

	return {ownPrefillMillis, oldestWaitMillis};
}

/** Weight of the last report: 1 when it is new, decaying as the requests it counted are expected to have ended. */
function readReportWeight(record: ServerRecord, heldMillis: number, nowMillis: number): number {
	return record.report ? Math.exp((record.report.measuredAtMillis - nowMillis) / heldMillis) : 0;
}

/** Returns the backend server as a candidate. */
export function toCandidate(record: ServerRecord, mean: MeanLoad, nowMillis: number): Candidate {
	const slowFactor = readSlowFactor(record.slowFactor, mean.slowFactor, nowMillis);
	const heldMillis = mean.heldMillis * (slowFactor / mean.slowFactor);
	const weight = readReportWeight(record, heldMillis, nowMillis);
	const others = record.report?.othersInFlight ?? mean.othersInFlight;
	return {
		agentId: record.agentId,
		failureDomain: record.failureDomain,
		ownInFlight: record.runningAttempts.size,
		...readWaiting(record, nowMillis),
		othersInFlight: mean.othersInFlight + ((others - mean.othersInFlight) * weight),
		queued: (record.report?.queued ?? 0) * weight,
		slowFactor,
		isStalled: isStalled(record, nowMillis),
		prefixes: record.prefixes,
	};
}
