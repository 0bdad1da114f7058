import {sha256Hex} from '../core/digest.js';
import type {CallRequest} from './call-request.js';

/** Length of a prompt block in characters; prefixes end at whole blocks. */
const BLOCK_CHARACTERS = 64;
/** Largest number of prefixes looked at. */
const MAX_PREFIXES = 32;
/** Characters of a token on average. */
const CHARACTERS_PER_TOKEN = 4;

/** Digests of a prompt's prefixes, longest first, and its length in tokens. */
export function findPromptPrefixes(prompt: string): Pick<CallRequest, 'prefixes' | 'promptTokens'> {
	const blocks = Math.min(MAX_PREFIXES, Math.floor(prompt.length / BLOCK_CHARACTERS));
	const prefixes = Array.from({length: blocks}, (_, index) => {
		const characters = (blocks - index) * BLOCK_CHARACTERS;
		return {digest: sha256Hex(prompt.slice(0, characters)), tokens: characters / CHARACTERS_PER_TOKEN};
	});
	return {prefixes, promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN)};
}
