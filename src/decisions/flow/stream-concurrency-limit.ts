/**
 * Answers the load at which streams of a lock-step group collapse together: one request too many slows all of them, and
 * requests in flight alone do not show it. The limit follows the pauses between events.
 */
import {
	TARGET_PAUSE_RATIO, FIXED_STEP_TIME_SHARE, LIMIT_DECREASE_GAIN, LIMIT_INCREASE_GAIN, INITIAL_BATCH_SHARE, MIN_BATCH_SHARE, MIN_PAUSE_SAMPLES, LIMIT_UPDATE_INTERVAL_MILLIS, PAUSE_QUANTILE,
} from './flow-constants.js';

/** Requests that this process may have in flight at the engines of one service. */
export type StreamConcurrencyLimit = Readonly<{
	/** Places in the batches of all engines that are this process's share. */
	setSlots: (places: number) => void;
	/** Takes the time between two events, over the time that is on time, and the requests in flight then. */
	notePause: (ratio: number, inFlight: number, nowMillis: number) => void;
	read: () => number;
}>;

function readQuantile(values: readonly number[], quantile: number): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;
}

/** Requests in flight at which the pauses would be as aimed at, when `inFlight` make them `ratio` of their target. */
export function predictLimit(ratio: number, inFlight: number): number {
	return inFlight * Math.max(0, (TARGET_PAUSE_RATIO / ratio) - FIXED_STEP_TIME_SHARE) / (1 - FIXED_STEP_TIME_SHARE);
}

/** Creates a limit for a service about whose load nothing is known. */
export function createStreamConcurrencyLimit(): StreamConcurrencyLimit {
	let places = 0;
	/** Limit as a share of the places, so that it keeps its meaning while engines and processes come and go. */
	let share = INITIAL_BATCH_SHARE;
	let ratios: number[] = [];
	let inFlightSum = 0;
	let changedAtMillis = -Infinity;

	function change(): void {
		const predicted = predictLimit(readQuantile(ratios, PAUSE_QUANTILE), inFlightSum / ratios.length);
		const wanted = Math.min(1, Math.max(MIN_BATCH_SHARE, predicted / Math.max(1, places)));
		share += (wanted - share) * (wanted > share ? LIMIT_INCREASE_GAIN : LIMIT_DECREASE_GAIN);
		ratios = [];
		inFlightSum = 0;
	}

	return {
		setSlots(next) {
			places = next;
		},
		notePause(ratio, inFlight, nowMillis) {
			ratios.push(ratio);
			inFlightSum += inFlight;
			if (ratios.length >= MIN_PAUSE_SAMPLES && nowMillis - changedAtMillis >= LIMIT_UPDATE_INTERVAL_MILLIS) {
				changedAtMillis = nowMillis;
				change();
			}
		},
		read: () => Math.max(1, places * share),
	};
}
