import type {Clock} from './clock.js';

/** A clock whose time only changes when it is advanced. For tests and for the experiment tool. */
export type ManualClock = Clock & {
	/** Advances the time by `millis` and wakes the sleepers that are due, in order of their due time. */
	readonly advance: (millis: number) => void;
};

type Sleeper = Readonly<{dueMillis: number; wake: () => void}>;

/** Creates a {@link ManualClock}; `startTime` is its wall-clock time at monotonic time 0. */
export function createManualClock(startTime: Date = new Date(0)): ManualClock {
	let elapsedMillis = 0;
	let sleepers: readonly Sleeper[] = [];

	return {
		now: () => new Date(startTime.getTime() + elapsedMillis),
		monotonicMillis: () => elapsedMillis,
		async sleep(millis, signal) {
			if (signal?.aborted) {
				return;
			}

			await new Promise<void>(resolve => {
				const wake = () => {
					sleepers = sleepers.filter(other => other !== sleeper);
					signal?.removeEventListener('abort', wake);
					resolve();
				};

				const sleeper = {dueMillis: elapsedMillis + millis, wake};
				sleepers = [...sleepers, sleeper];
				signal?.addEventListener('abort', wake);
			});
		},
		advance(millis) {
			elapsedMillis += millis;
			const due = sleepers
				.filter(sleeper => sleeper.dueMillis <= elapsedMillis)
				.toSorted((left, right) => left.dueMillis - right.dueMillis);
			sleepers = sleepers.filter(sleeper => sleeper.dueMillis > elapsedMillis);
			for (const sleeper of due) {
				sleeper.wake();
			}
		},
	};
}
