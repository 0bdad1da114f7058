export type LeaseTiming = Readonly<{
	/** A lease that its holder has not renewed for this long may be taken over by another holder. */
	durationMillis: number;
	/** The holder stops using its lease this long before others may take it. */
	safetyMarginMillis: number;
}>;

/** Value of the row of a lease. */
export type LeaseRow = Readonly<{
	/** Empty when the lease was released. */
	holder: string;
	/** Incremented with each acquisition, and kept when the lease is released. */
	fencingToken: number;
	/** Id of the write that created this version of the row; shows after a lost reply whether the write took effect. */
	writeId: string;
}>;

/** A lease that is held. */
export type LeaseGrant = Readonly<{
	fencingToken: number;
	/** Version of the row that the next write expects. */
	rowVersion: number;
	/** Monotonic time until which the holder may use the lease. */
	validUntilMillis: number;
}>;

/** Why a lease was not acquired or renewed. */
export type LeaseError
	/** Another holder has it, or has not yet been seen without a renewal for the whole duration. */
	= | Readonly<{tag: 'held'; holder: string}>
	/** Another holder took it over. */
		| Readonly<{tag: 'lost'}>
	/** Nothing was written. */
		| Readonly<{tag: 'unavailable'; detail: string}>
	/** A write may or may not have taken effect; the next acquisition reads the row again. */
		| Readonly<{tag: 'unsettled'; detail: string}>
	/** The row is not a lease row. */
		| Readonly<{tag: 'malformed'}>;
