/**
 * Answers the load at which streams of a lock-step group collapse together: one request too many slows all of them, and
 * requests in flight alone do not show it. The limit follows the pauses between events.
 */
import {
	HIGH_PAUSE_RATIO, INCREASE_SHARE, INITIAL_BATCH_SHARE, LEAST_BATCH_SHARE, LEAST_PAUSES, LIMIT_INTERVAL_MILLIS, LOW_PAUSE_RATIO,
	MIN_DECREASE_FACTOR, PAUSE_QUANTILE,
} from './flow-constants.js';

/** Requests that this process may have in flight at the engines of one service. */
export type PauseLimit = Readonly<{
	/** Places in the batches of all engines that are this process's share. */
	setPlaces: (places: number) => void;
	/** Takes the time between two events, over the time that is on time. */
	notePause: (ratio: number, nowMillis: number) => void;
	/** A request had to wait since the last change. */
	noteReached: () => void;
	read: () => number;
}>;

function readQuantile(values: readonly number[], quantile: number): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;
}

/** Creates a limit for a service about whose load nothing is known. */
export function createPauseLimit(): PauseLimit {
	let places = 0;
	/** Limit as a share of the places, so that it keeps its meaning while engines and processes come and go. */
	let share = INITIAL_BATCH_SHARE;
	let wasReached = false;
	let ratios: number[] = [];
	let changedAtMillis = -Infinity;

	function change(): void {
		const ratio = readQuantile(ratios, PAUSE_QUANTILE);
		if (ratio > HIGH_PAUSE_RATIO) {
			share *= Math.max(MIN_DECREASE_FACTOR, HIGH_PAUSE_RATIO / ratio);
		} else if (ratio < LOW_PAUSE_RATIO && wasReached) {
			share *= 1 + INCREASE_SHARE;
		}

		share = Math.min(1, Math.max(LEAST_BATCH_SHARE, share));
		wasReached = false;
		ratios = [];
	}

	return {
		setPlaces(next) {
			places = next;
		},
		notePause(ratio, nowMillis) {
			ratios.push(ratio);
			if (ratios.length >= LEAST_PAUSES && nowMillis - changedAtMillis >= LIMIT_INTERVAL_MILLIS) {
				changedAtMillis = nowMillis;
				change();
			}
		},
		noteReached() {
			wasReached = true;
		},
		read: () => Math.max(1, places * share),
	};
}
