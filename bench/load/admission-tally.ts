import {mean, quantile, round} from './distributions.js';
import {workClasses} from './admission-scenario.js';

/** What happened to one request at one try; `tries` counts from 1. */
export type TryRecord = Readonly<{
	atMillis: number;
	account: string;
	workClass: string;
	tries: number;
	result: Readonly<{tag: 'answered'; ttftMillis: number; isLate: boolean}> | Readonly<{tag: 'refused'; waitedMillis: number; retryAfterMillis: number}>;
}>;

/** Figures of one class of work. */
export type ClassFigures = Readonly<{
	workClass: string;
	tries: number;
	refusedShare: number;
	lateShare: number;
	lateTarget: number;
	ttftMillisP95: number;
}>;

/** Width of the bins in which returns are counted. */
const RETURN_BIN_MILLIS = 1000;

function shareOf<T>(items: readonly T[], test: (item: T) => boolean): number {
	return items.length === 0 ? 0 : items.filter(item => test(item)).length / items.length;
}

function isRefused(record: TryRecord): boolean {
	return record.result.tag === 'refused';
}

/** Figures of each class. */
export function computeClassFigures(records: readonly TryRecord[]): readonly ClassFigures[] {
	return workClasses.map(({workClass}) => {
		const own = records.filter(record => record.workClass === workClass.name);
		const answers = own.flatMap(record => record.result.tag === 'answered' ? [record.result] : []);
		return {
			workClass: workClass.name,
			tries: own.length,
			refusedShare: round(shareOf(own, isRefused), 3),
			lateShare: round(shareOf(answers, answer => answer.isLate), 3),
			lateTarget: workClass.lateShare,
			ttftMillisP95: round(quantile(answers.map(answer => answer.ttftMillis), 0.95), 0),
		};
	});
}

/** Answers a second that came in time. */
export function computeGoodput(records: readonly TryRecord[], millis: number): number {
	const inTime = records.filter(record => record.result.tag === 'answered' && !record.result.isLate);
	return round((inTime.length * 1000) / millis, 1);
}

/** Share of refused tries of the accounts that `test` takes. */
export function computeRefusedShare(records: readonly TryRecord[], test: (account: string) => boolean): number {
	return round(shareOf(records.filter(record => test(record.account)), isRefused), 4);
}

/** Share of the callers, refused at their first try, that were served at their second. */
export function computeFirstReturnShare(records: readonly TryRecord[]): number {
	return round(shareOf(records.filter(record => record.tries === 2), record => !isRefused(record)), 3);
}

/**
 * How far returns come in step: half the mean square of the change from one second to the next, over the mean. It is 1 for
 * returns that are independent of each other and grows with bunches; a slow trend does not count.
 */
export function computeReturnDispersion(records: readonly TryRecord[], fromMillis: number, untilMillis: number): number {
	const bins = Array.from({length: Math.ceil((untilMillis - fromMillis) / RETURN_BIN_MILLIS)}, () => 0);
	for (const record of records) {
		const bin = Math.floor((record.atMillis - fromMillis) / RETURN_BIN_MILLIS);
		if (record.tries > 1 && bin >= 0 && bin < bins.length) {
			bins[bin] = (bins[bin] ?? 0) + 1;
		}
	}

	const squares = bins.slice(1).map((count, i) => (count - (bins[i] ?? 0)) ** 2);
	return round(mean(squares) / 2 / Math.max(1e-9, mean(bins)), 2);
}

/** Share of the refusals that came without any wait. */
export function computeRefusedOnArrivalShare(records: readonly TryRecord[]): number {
	return round(shareOf(records.filter(record => isRefused(record)), record => record.result.tag === 'refused' && record.result.waitedMillis === 0), 3);
}

/** 99th percentile of the time that a request waited before it was refused, in milliseconds. */
export function computeRefusalWaitP99(records: readonly TryRecord[]): number {
	return round(quantile(records.flatMap(record => record.result.tag === 'refused' ? [record.result.waitedMillis] : []), 0.99), 0);
}

/** Quantiles of the time after which refused callers are asked back, in seconds. */
export function computeRetryAfterSeconds(records: readonly TryRecord[]): readonly number[] {
	const times = records.flatMap(record => record.result.tag === 'refused' ? [record.result.retryAfterMillis / 1000] : []);
	return [0.05, 0.5, 0.95].map(share => round(quantile(times, share), 1));
}
