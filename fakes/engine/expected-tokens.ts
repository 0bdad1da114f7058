import {sha256Hex} from '../../src/core/digest.js';

/** Characters of the prompt's digest that each token shows. */
const SHOWN_DIGEST_CHARACTERS = 8;

/** The token that any engine gives at `offset` of the answer to `prompt`. */
export function expectedToken(prompt: string, offset: number): string {
	return `${sha256Hex(prompt).slice(0, SHOWN_DIGEST_CHARACTERS)}:${offset} `;
}

/** The whole answer to `prompt`; each token names prompt and offset, so that a mixed answer shows. */
export function expectedTokens(prompt: string, maxTokens: number): readonly string[] {
	return Array.from({length: maxTokens}, (_, offset) => expectedToken(prompt, offset));
}
