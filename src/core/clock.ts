/** Source of time. Injected everywhere, so that tests control the time. */
export type Clock = {
	/** Wall-clock time, for records and for humans. */
	readonly now: () => Date;
	/** Monotonic time in milliseconds, for deadlines and leases. */
	readonly monotonicMillis: () => number;
	/** Resolves after `millis`, or as soon as `signal` aborts. Never rejects. */
	readonly sleep: (millis: number, signal?: AbortSignal) => Promise<void>;
};
