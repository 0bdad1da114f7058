/**
 * Keeps the load below the point at which all streams of a lock-step group become late together: one request too many slows
 * all of them, and the number of requests in flight alone does not show it. The limit follows the pauses between events.
 */
import {
	TARGET_PAUSE_RATIO, FIXED_STEP_TIME_SHARE, INTERRUPTION_FACTOR, LIMIT_DECREASE_GAIN, LIMIT_INCREASE_GAIN,
	INITIAL_BATCH_SHARE, MIN_BATCH_SHARE, MIN_PAUSE_SAMPLES, LIMIT_UPDATE_INTERVAL_MILLIS, PAUSE_QUANTILE,
} from './flow-constants.js';

/** Limit on the requests that this process has in flight at the engines of one service. */
export type StreamConcurrencyLimit = Readonly<{
	/** Sets this process's share of the batch slots of all engines. */
	setSlots: (slots: number) => void;
	/** Records the ratio of a pause between two events to the longest pause that is on time, and the requests in flight then. */
	notePause: (ratio: number, inFlight: number, nowMillis: number) => void;
	read: () => number;
}>;

function readQuantile(values: readonly number[], quantile: number): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;
}

/** Predicts the number of requests in flight at which pauses reach the target ratio, given that `inFlight` requests cause `ratio`. */
export function predictLimit(ratio: number, inFlight: number): number {
	return inFlight * Math.max(0, (TARGET_PAUSE_RATIO / ratio) - FIXED_STEP_TIME_SHARE) / (1 - FIXED_STEP_TIME_SHARE);
}

/**
 * Whether a pause comes from an interruption, such as a switch of the expert map or the loss of a rank, rather than from load. Load lengthens
 * one pause after the other; an interruption makes one late that follows a short one. Both are ratios to the longest pause on time.
 */
export function isInterruption(ratio: number, previousRatio: number | undefined): boolean {
	return previousRatio !== undefined && ratio > 1 && ratio >= previousRatio * INTERRUPTION_FACTOR;
}

/** Creates a limit for a service whose load is unknown. */
export function createStreamConcurrencyLimit(): StreamConcurrencyLimit {
	let slots = 0;
	/** Limit as a share of the slots, so that it stays valid while engines and processes join and leave. */
	let share = INITIAL_BATCH_SHARE;
	let ratios: number[] = [];
	let totalInFlight = 0;
	let changedAtMillis = -Infinity;
	function updateShare(): void {
		const predicted = predictLimit(readQuantile(ratios, PAUSE_QUANTILE), totalInFlight / ratios.length);
		const targetShare = Math.min(1, Math.max(MIN_BATCH_SHARE, predicted / Math.max(1, slots)));
		share += (targetShare - share) * (targetShare > share ? LIMIT_INCREASE_GAIN : LIMIT_DECREASE_GAIN);
		ratios = [];
		totalInFlight = 0;
	}

	return {
		setSlots(next) {
			slots = next;
		},
		notePause(ratio, inFlight, nowMillis) {
			ratios.push(ratio);
			totalInFlight += inFlight;
			if (ratios.length >= MIN_PAUSE_SAMPLES && nowMillis - changedAtMillis >= LIMIT_UPDATE_INTERVAL_MILLIS) {
				changedAtMillis = nowMillis;
				updateShare();
			}
		},
		read: () => Math.max(1, slots * share),
	};
}
