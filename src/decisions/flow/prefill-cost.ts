/** Expected time that an engine needs for the prefill of a prompt, from the cost model in its configuration. */
import type {EngineFigures} from '../../routing/routing-configuration.js';

/** Figures of an engine whose configuration states how many prompt tokens it processes in a step. */
export type PrefillFigures = EngineFigures & Readonly<{prefillTokensPerStep: number}>;

const TOKENS_PER_CONTEXT_UNIT = 1000;
const PAIRS_PER_UNIT = 1_000_000;

/** Figures for the prefill; undefined for plain services and where the configuration does not state the chunk size. */
export function readPrefillFigures(engine: EngineFigures | undefined): PrefillFigures | undefined {
	return engine?.prefillTokensPerStep === undefined ? undefined : {...engine, prefillTokensPerStep: engine.prefillTokensPerStep};
}

/** Duration of a step of an engine with this many requests in their decoding phase, without prefill, in milliseconds. */
export function estimateStepMillis(figures: PrefillFigures, decoding: number): number {
	const contextTokens = figures.usualPromptTokens + (figures.usualAnswerTokens / 2);
	const contextMillis = (figures.stepMillisPerThousandContextTokens ?? 0) * contextTokens / TOKENS_PER_CONTEXT_UNIT;
	return figures.stepMillis + (decoding * (figures.stepMillisPerRequest + contextMillis));
}

/**
 * Expected time from the first step that processes the prompt to the end of the last one, in milliseconds. Each token is paired with
 * those before it, so that the pairs grow with half of the square of the prompt.
 */
export function estimatePrefillMillis(figures: PrefillFigures, tokens: number, decoding: number): number {
	const steps = Math.ceil(tokens / figures.prefillTokensPerStep);
	const pairMillis = (figures.prefillMillisPerMillionPairs ?? 0) * (tokens ** 2) / 2 / PAIRS_PER_UNIT;
	return (steps * estimateStepMillis(figures, decoding)) + (tokens / figures.prefillTokensPerMilli) + pairMillis;
}
