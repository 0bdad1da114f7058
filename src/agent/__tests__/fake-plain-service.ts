/** Fake plain service whose calls wait until the test ends them. */
import {Buffer} from 'node:buffer';
import type {Result} from '../../core/result.js';
import type {
	PlainAnswer, PlainCall, PlainCallError, PlainService,
} from '../../ports/plain-service.js';

type CallResult = Result<PlainAnswer, PlainCallError>;

export type FakePlainService = PlainService & Readonly<{
	calls: readonly PlainCall[];
	/** Ends the oldest waiting call, after waiting for one if there is none. */
	end: (result: CallResult) => Promise<void>;
}>;

export function answerWith(text: string): CallResult {
	return {ok: true, value: {status: 201, body: Buffer.from(text)}};
}

export function createFakePlainService(): FakePlainService {
	const calls: PlainCall[] = [];
	const waiting: Array<(result: CallResult) => void> = [];
	const callArrivals: Array<() => void> = [];
	return {
		calls,
		async call(call) {
			calls.push(call);
			return new Promise(resolve => {
				waiting.push(resolve);
				callArrivals.shift()?.();
			});
		},
		readLoad: async () => ({ok: true, value: {running: waiting.length, queued: 0, ageMillis: 0}}),
		async end(result) {
			if (waiting.length === 0) {
				await new Promise<void>(resolve => {
					callArrivals.push(resolve);
				});
			}

			waiting.shift()!(result);
		},
	};
}
