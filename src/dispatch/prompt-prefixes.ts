import {digestPromptPrefix, PREFIX_CHARACTERS} from '../ports/prompt-prefix.js';
import type {CallRequest} from './call-request.js';

/** Average number of characters of a token. */
const CHARACTERS_PER_TOKEN = 4;

function estimateTokens(characters: number): number {
	return Math.ceil(characters / CHARACTERS_PER_TOKEN);
}

/** Returns the cacheable prefix of a prompt and the prompt's length, both in tokens estimated from characters. */
export function findPromptPrefixes(prompt: string): Pick<CallRequest, 'prefixes' | 'promptTokens'> {
	return {
		prefixes: [{digest: digestPromptPrefix(prompt), tokens: estimateTokens(Math.min(prompt.length, PREFIX_CHARACTERS))}],
		promptTokens: estimateTokens(prompt.length),
	};
}
