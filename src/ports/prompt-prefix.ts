import {sha256Hex} from '../core/digest.js';

/** Length of the cacheable prefix of a prompt, in characters. */
export const PREFIX_CHARACTERS = 256;

/** Identifies the prefix of a prompt in cache events: SHA-256 as lower-case hex. */
export function digestPromptPrefix(prompt: string): string {
	return sha256Hex(prompt.slice(0, PREFIX_CHARACTERS));
}
