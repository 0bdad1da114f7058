/** Ways in which the popularity of experts changes over a generated trace. */
export const TRACE_KINDS = ['zipf', 'season', 'step', 'burst'] as const;

export type TraceKind = (typeof TRACE_KINDS)[number];

/** Parameters of a generated trace. */
export type TraceShape = Readonly<{
	kind: TraceKind;
	seed: number;
	experts: number;
	layers: number;
	steps: number;
	/** Mean tokens of all experts of one layer in one step. */
	tokensPerStep: number;
	/** Exponent of the Zipf distribution of popularity. */
	exponent: number;
	/** Steps of one full season. */
	seasonSteps: number;
}>;
