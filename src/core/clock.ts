/** Source of time. Passed in everywhere, so that tests decide what time it is. */
export type Clock = {
	/** Wall-clock time, for records and for humans. */
	readonly now: () => Date;
	/** Monotonic time in milliseconds, for deadlines and leases. */
	readonly monotonicMillis: () => number;
	/** Resolves after `millis`, or as soon as `signal` aborts. Never rejects. */
	readonly sleep: (millis: number, signal?: AbortSignal) => Promise<void>;
};
