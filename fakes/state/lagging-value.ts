import type {Clock} from '../../src/core/clock.js';

type Version<T> = Readonly<{value: T; visibleMillis: number}>;

/** A value that its readers see some time after it was set. */
export type LaggingValue<T> = {
	/** The value as it was `lagMillis` ago. */
	readonly read: () => T;
	/** The value as it is. */
	readonly truth: () => T;
	readonly set: (value: T) => void;
	/** Applies to values set from now on. */
	readonly setLag: (lagMillis: number) => void;
};

/** Creates a lagging value; `initial` is visible at once. */
export function createLaggingValue<T>(clock: Clock, initial: T, initialLagMillis: number): LaggingValue<T> {
	let lagMillis = initialLagMillis;
	let versions: ReadonlyArray<Version<T>> = [];
	let visible = initial;
	let truth = initial;

	return {
		read() {
			const nowMillis = clock.monotonicMillis();
			const due = versions.filter(version => version.visibleMillis <= nowMillis);
			versions = versions.filter(version => version.visibleMillis > nowMillis);
			visible = due.length > 0 ? due.at(-1)!.value : visible;
			return visible;
		},
		truth: () => truth,
		set(value) {
			truth = value;
			versions = [...versions, {value, visibleMillis: clock.monotonicMillis() + lagMillis}];
		},
		setLag(millis) {
			lagMillis = millis;
		},
	};
}
