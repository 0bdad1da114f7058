import type {BackendServer} from './backend-server.js';
import type {GatewayContext} from './gateway-context.js';
import type {RoutedCall} from './routed-call.js';

/** Extra cost of a backend server, in requests: the prompts to be processed there, where prompt sizes differ. */
export function createPromptCost({clock}: Pick<GatewayContext, 'clock'>, {prompt, flow}: RoutedCall): ((server: BackendServer) => number) | undefined {
	const usualTokens = flow.promptSizes.readUsualTokens();
	if (!prompt || !flow.promptSizes.isMixed() || usualTokens === undefined) {
		return undefined;
	}

	const nowMillis = clock.monotonicMillis();
	return ({id}) => flow.promptLoad.estimateTokensAt(id, usualTokens, nowMillis) / usualTokens;
}
