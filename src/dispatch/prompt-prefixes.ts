import {digestPromptPrefix, PREFIX_CHARACTERS} from '../ports/prompt-prefix.js';
import type {CallRequest} from './call-request.js';

/** Characters of a token on average. */
const CHARACTERS_PER_TOKEN = 4;

function countTokens(characters: number): number {
	return Math.ceil(characters / CHARACTERS_PER_TOKEN);
}

/** The cacheable prefix of a prompt and the prompt's length, both in tokens as far as characters tell. */
export function findPromptPrefixes(prompt: string): Pick<CallRequest, 'prefixes' | 'promptTokens'> {
	return {
		prefixes: [{digest: digestPromptPrefix(prompt), tokens: countTokens(Math.min(prompt.length, PREFIX_CHARACTERS))}],
		promptTokens: countTokens(prompt.length),
	};
}
