/** Takes the prompt of a call into account: what its prefill costs, and what the prompts at a backend server add to the cost of it. */
import {estimatePrefillMillis, readPrefillFigures, type PrefillFigures} from '../decisions/flow/prefill-cost.js';
import type {Prompt} from '../decisions/flow/prompt-load.js';
import type {EngineFigures} from '../routing/routing-configuration.js';
import type {BackendServer} from './backend-server.js';
import type {GatewayContext} from './gateway-context.js';
import type {RoutedCall} from './routed-call.js';

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

/** Extra cost of a backend server, in requests: the prompts to be processed there, where prompt sizes differ. */
export function createPromptCost({clock}: Pick<GatewayContext, 'clock'>, {prompt, flow}: RoutedCall): ((server: BackendServer) => number) | undefined {
	const usualTokens = flow.promptSizes.readUsualTokens();
	if (!prompt || !flow.promptSizes.isMixed() || usualTokens === undefined) {
		return undefined;
	}

	const nowMillis = clock.monotonicMillis();
	return ({id}) => flow.promptLoad.estimateTokensAt(id, usualTokens, nowMillis) / usualTokens;
}
