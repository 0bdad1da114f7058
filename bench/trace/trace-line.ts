/** Load of one layer in one step. */
export type TraceLine = Readonly<{
	step: number;
	layer: number;
	/** Tokens of each expert. */
	tokens: readonly number[];
}>;

/** A load trace. Its lines are in step order. */
export type LoadTrace = Readonly<{
	experts: number;
	lines: readonly TraceLine[];
}>;
