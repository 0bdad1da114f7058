/** Times of a lease, all in milliseconds. */
export type LeaseTiming = Readonly<{
	/** A lease that its holder has not renewed for this long may be taken over. */
	durationMillis: number;
	/** The holder stops using its lease this long before others may take it. */
	safetyMarginMillis: number;
}>;

/** What the row of a lease holds. */
export type LeaseRow = Readonly<{
	/** Empty when the lease was released. */
	holder: string;
	/** Grows by one with each acquisition, and is kept when the lease is released. */
	fencingToken: number;
	/** Names the write that made this version; settles a lost reply. */
	writeId: string;
}>;

/** A lease that is held. */
export type LeaseGrant = Readonly<{
	fencingToken: number;
	/** Version of the row that the next write builds on. */
	rowVersion: number;
	/** Monotonic time up to which the holder may act on it. */
	validUntilMillis: number;
}>;

/** Why a lease was not acquired or renewed. */
export type LeaseError
	/** Another holder has it, or has not been silent for long enough. */
	= | Readonly<{tag: 'held'; holder: string}>
	/** Another holder took it over. */
		| Readonly<{tag: 'lost'}>
	/** Nothing was written. */
		| Readonly<{tag: 'unavailable'; detail: string}>
	/** A write may have taken effect; the next acquisition finds out. */
		| Readonly<{tag: 'unsettled'; detail: string}>
	/** The row is not one of a lease. */
		| Readonly<{tag: 'malformed'}>;
