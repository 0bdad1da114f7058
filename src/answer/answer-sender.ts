/** Sender side of one attempt's answer: gives each payload an offset and ends the answer with a count and a digest. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {AttemptId} from '../core/ids.js';
import type {Data, End} from '../wire/generated/link.js';

/** Creates the frames of one attempt, in order. */
export type AnswerSender = {
	/** Creates the next data frame; `count` is the number of units in `payload`, at least 1. */
	readonly createData: (payload: Uint8Array, count: number) => Data;
	/** Offset of the next frame. */
	readonly nextOffset: () => number;
	/** Creates the end frame. Its count and digest cover only the frames of this attempt. */
	readonly createEnd: (status: number, repeated: boolean) => End;
};

/** Creates the sender of an attempt whose first frame has `firstOffset`. */
export function createAnswerSender(attemptId: AttemptId, firstOffset: number): AnswerSender {
	const hash = createHash('sha256');
	let nextOffset = firstOffset;

	return {
		nextOffset: () => nextOffset,
		createData(payload, count) {
			const offset = nextOffset;
			nextOffset += count;
			hash.update(payload);
			return {
				attemptId, offset, count, payload: Buffer.from(payload),
			};
		},
		createEnd: (status, repeated) => ({
			attemptId,
			count: nextOffset - firstOffset,
			digest: hash.copy().digest('hex'),
			status,
			repeated,
		}),
	};
}
