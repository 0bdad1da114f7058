import {sha256Hex} from '../../src/core/digest.js';

/** Characters of the prompt's digest that each token contains. */
const TOKEN_DIGEST_CHARACTERS = 8;

/** The token that every engine generates at `offset` of the answer to `prompt`. */
export function expectedToken(prompt: string, offset: number): string {
	return `${sha256Hex(prompt).slice(0, TOKEN_DIGEST_CHARACTERS)}:${offset} `;
}

/** The complete answer to `prompt`. Each token contains the digest of the prompt and the offset, so that mixed-up answers are detected. */
export function expectedTokens(prompt: string, maxTokens: number): readonly string[] {
	return Array.from({length: maxTokens}, (_, offset) => expectedToken(prompt, offset));
}
