/** Collects the chunks of an answer: buffers them until the answer is complete, or forwards them as they arrive. */
import {createHash} from 'node:crypto';
import {
	countBytes, countTokens, decodeTokens, type CountUnits,
} from '../answer/payload-units.js';
import {createByteCollector} from '../core/byte-collector.js';

/** Collects the chunks of an answer across all attempts of its request. */
export type AnswerCollector = Readonly<{
	countUnits: CountUnits;
	/** Whether chunks are forwarded before the answer is complete. */
	isStreaming: boolean;
	/** Prepares for a new attempt and returns the first offset that it must send. */
	beginAttempt: () => number;
	addChunk: (offset: number, payload: Uint8Array) => void;
	/** Whether anything has been forwarded. */
	hasForwardedChunks: () => boolean;
	/** Bytes buffered so far; empty when chunks are forwarded. */
	body: () => Uint8Array;
}>;

/** Buffers the answer of a plain service; a new attempt starts again at offset 0. */
export function createBodyCollector(): AnswerCollector {
	let bytes = createByteCollector();
	return {
		countUnits: countBytes,
		isStreaming: false,
		beginAttempt() {
			bytes = createByteCollector();
			return 0;
		},
		addChunk(_offset, payload) {
			bytes.append(payload);
		},
		hasForwardedChunks: () => false,
		body: () => bytes.peek(),
	};
}

/** Receives tokens, the first of which is at `offset`. */
export type TokenSink = (offset: number, tokens: readonly string[]) => void;

/** Forwards tokens and counts them; a new attempt continues where the last one ended. */
export type TokenRelay = AnswerCollector & Readonly<{
	count: () => number;
	/** SHA-256 over all forwarded tokens, hex. */
	digest: () => string;
}>;

/** Creates a relay that forwards tokens to `sink`. */
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
