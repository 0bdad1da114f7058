/** Sender side of one attempt's answer: numbers its payloads and closes them with count and digest. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {AttemptId} from '../core/ids.js';
import type {Data, End} from '../wire/generated/link.js';

/** Makes the frames of one attempt in order. */
export type AnswerSender = {
	/** The next frame; `count` is the number of units in `payload` and above 0. */
	readonly createData: (payload: Uint8Array, count: number) => Data;
	/** Offset of the next frame. */
	readonly nextOffset: () => number;
	/** The end frame. Count and digest cover the frames of this attempt only. */
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
