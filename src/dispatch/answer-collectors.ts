/** Where the pieces of an answer go: kept until the answer is whole, or passed on as they come. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {
	countBytes, countTokens, decodeTokens, type CountUnits,
} from '../answer/payload-units.js';

/** Takes the pieces of an answer over all attempts of its request. */
export type AnswerCollector = Readonly<{
	countUnits: CountUnits;
	/** True when pieces are passed on before the answer is whole. */
	isStreaming: boolean;
	/** First offset that a new attempt must send. */
	beginAttempt: () => number;
	addChunk: (offset: number, payload: Uint8Array) => void;
	/** Whether anything was passed on. */
	hasForwardedChunks: () => boolean;
	/** Bytes kept so far; empty when pieces are passed on. */
	body: () => Uint8Array;
}>;

/** Keeps the bytes of a plain service's answer; a new attempt begins again. */
export function createBodyCollector(): AnswerCollector {
	let pieces: readonly Uint8Array[] = [];
	return {
		countUnits: countBytes,
		isStreaming: false,
		beginAttempt() {
			pieces = [];
			return 0;
		},
		addChunk(_offset, payload) {
			pieces = [...pieces, payload];
		},
		hasForwardedChunks: () => false,
		body: () => Buffer.concat(pieces),
	};
}

/** Takes tokens from `offset` on. */
export type TokenSink = (offset: number, tokens: readonly string[]) => void;

/** Passes tokens on and counts them; a new attempt continues where the last one ended. */
export type TokenRelay = AnswerCollector & Readonly<{
	count: () => number;
	/** SHA-256 over all tokens passed on, hex. */
	digest: () => string;
}>;

/** Creates a relay to `sink`. */
export function createTokenRelay(sink: TokenSink): TokenRelay {
	const hash = createHash('sha256');
	let count = 0;
	return {
		countUnits: countTokens,
		isStreaming: true,
		beginAttempt: () => count,
		addChunk(offset, payload) {
			const tokens = decodeTokens(payload) ?? [];
			hash.update(tokens.join(''));
			count += tokens.length;
			sink(offset, tokens);
		},
		hasForwardedChunks: () => count > 0,
		body: () => new Uint8Array(),
		count: () => count,
		digest: () => hash.copy().digest('hex'),
	};
}
