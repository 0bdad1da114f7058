import {estimatePrefillMillis, readPrefillFigures, type PrefillFigures} from '../decisions/flow/prefill-cost.js';
import type {Prompt} from '../decisions/flow/prompt-load.js';
import type {EngineFigures} from '../routing/routing-configuration.js';

/** Share of the batch slots that are assumed to be decoding during the prefill of a prompt. */
const DECODING_SHARE = 0.5;

function estimateMillis(figures: PrefillFigures, tokens: number): number {
	return estimatePrefillMillis(figures, tokens, figures.batchSize * DECODING_SHARE);
}

/** Describes the prompt of a request; undefined where the engine's figures or the number of tokens are unknown. */
export function describePrompt(engine: EngineFigures | undefined, tokens: number): Prompt | undefined {
	const figures = readPrefillFigures(engine);
	return figures && tokens > 0 ? {tokens, prefillMillis: estimateMillis(figures, tokens)} : undefined;
}
