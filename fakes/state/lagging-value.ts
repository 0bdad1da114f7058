import type {Clock} from '../../src/core/clock.js';

type Version<T> = Readonly<{value: T; visibleMillis: number}>;

/** A value that becomes visible to its readers some time after it was set. */
export type LaggingValue<T> = {
	/** The value as it was `lagMillis` ago. */
	readonly read: () => T;
	/** The value set last, visible or not. */
	readonly current: () => T;
	readonly set: (value: T) => void;
	/** Sets the lag of values set from now on. */
	readonly setLag: (lagMillis: number) => void;
};

/** Creates a lagging value; `initial` is visible immediately. */
export function createLaggingValue<T>(clock: Clock, initial: T, initialLagMillis: number): LaggingValue<T> {
	let lagMillis = initialLagMillis;
	let versions: ReadonlyArray<Version<T>> = [];
	let visible = initial;
	let current = initial;

	return {
		read() {
			const nowMillis = clock.monotonicMillis();
			const visibleVersions = versions.filter(version => version.visibleMillis <= nowMillis);
			versions = versions.filter(version => version.visibleMillis > nowMillis);
			visible = visibleVersions.length > 0 ? visibleVersions.at(-1)!.value : visible;
			return visible;
		},
		current: () => current,
		set(value) {
			current = value;
			versions = [...versions, {value, visibleMillis: clock.monotonicMillis() + lagMillis}];
		},
		setLag(newLagMillis) {
			lagMillis = newLagMillis;
		},
	};
}
