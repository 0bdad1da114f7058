import {mean, quantile, round} from './distributions.js';
import {workClasses} from './admission-scenario.js';

/** Outcome of one try of a caller; `tryNumber` counts from 1. */
export type TryRecord = Readonly<{
	atMillis: number;
	account: string;
	workClass: string;
	tryNumber: number;
	outcome: Readonly<{tag: 'answered'; ttftMillis: number; isLate: boolean}> | Readonly<{tag: 'refused'; waitedMillis: number; retryAfterMillis: number}>;
}>;

/** Figures of one work class; `tries` counts first tries and retries. */
export type ClassFigures = Readonly<{
	workClass: string;
	tries: number;
	refusedShare: number;
	lateShare: number;
	lateTarget: number;
	ttftMillisP95: number;
}>;

/** Width of the time bins in which retries of refused callers are counted. */
const RETURN_BIN_MILLIS = 1000;

function computeShare<T>(items: readonly T[], matches: (item: T) => boolean): number {
	return items.length === 0 ? 0 : items.filter(item => matches(item)).length / items.length;
}

function isRefused(record: TryRecord): boolean {
	return record.outcome.tag === 'refused';
}

export function computeClassFigures(records: readonly TryRecord[]): readonly ClassFigures[] {
	return workClasses.map(({workClass}) => {
		const classRecords = records.filter(record => record.workClass === workClass.name);
		const answers = classRecords.flatMap(record => record.outcome.tag === 'answered' ? [record.outcome] : []);
		return {
			workClass: workClass.name,
			tries: classRecords.length,
			refusedShare: round(computeShare(classRecords, isRefused), 3),
			lateShare: round(computeShare(answers, answer => answer.isLate), 3),
			lateTarget: workClass.lateShare,
			ttftMillisP95: round(quantile(answers.map(answer => answer.ttftMillis), 0.95), 0),
		};
	});
}

/** Answers per second that were not late. */
export function computeGoodput(records: readonly TryRecord[], durationMillis: number): number {
	const onTime = records.filter(record => record.outcome.tag === 'answered' && !record.outcome.isLate);
	return round((onTime.length * 1000) / durationMillis, 1);
}

/** Share of refused tries among those of the accounts that `matchesAccount` selects. */
export function computeRefusedShare(records: readonly TryRecord[], matchesAccount: (account: string) => boolean): number {
	return round(computeShare(records.filter(record => matchesAccount(record.account)), isRefused), 4);
}

/** Share of the callers refused at their first try that were served at their second. */
export function computeFirstReturnServedShare(records: readonly TryRecord[]): number {
	return round(computeShare(records.filter(record => record.tryNumber === 2), record => !isRefused(record)), 3);
}

/**
 * Dispersion of the retries of refused callers over time: half the mean square of the change from one second to the next,
 * divided by the mean. It is 1 for independent retries and grows when retries are synchronized; a slow trend does not affect it.
 */
export function computeReturnDispersion(records: readonly TryRecord[], fromMillis: number, untilMillis: number): number {
	const bins = Array.from({length: Math.ceil((untilMillis - fromMillis) / RETURN_BIN_MILLIS)}, () => 0);
	for (const record of records) {
		const bin = Math.floor((record.atMillis - fromMillis) / RETURN_BIN_MILLIS);
		if (record.tryNumber > 1 && bin >= 0 && bin < bins.length) {
			bins[bin] = (bins[bin] ?? 0) + 1;
		}
	}

	const squaredChanges = bins.slice(1).map((count, i) => (count - (bins[i] ?? 0)) ** 2);
	return round(mean(squaredChanges) / 2 / Math.max(1e-9, mean(bins)), 2);
}

/** Share of the refusals that were sent without queueing the request. */
export function computeRefusedOnArrivalShare(records: readonly TryRecord[]): number {
	return round(computeShare(records.filter(record => isRefused(record)), record => record.outcome.tag === 'refused' && record.outcome.waitedMillis === 0), 3);
}

/** 99th percentile of the time that a request was queued before it was refused, in milliseconds. */
export function computeRefusalWaitP99(records: readonly TryRecord[]): number {
	return round(quantile(records.flatMap(record => record.outcome.tag === 'refused' ? [record.outcome.waitedMillis] : []), 0.99), 0);
}

/** 5th, 50th and 95th percentile of the retry-after time of refusals, in seconds. */
export function computeRetryAfterSeconds(records: readonly TryRecord[]): readonly number[] {
	const times = records.flatMap(record => record.outcome.tag === 'refused' ? [record.outcome.retryAfterMillis / 1000] : []);
	return [0.05, 0.5, 0.95].map(share => round(quantile(times, share), 1));
}
