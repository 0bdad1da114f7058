/** Fake model engine whose streams the test scripts. */
import {fail, succeed, type Result} from '../../core/result.js';
import type {
	CacheEvent, EngineError, EngineState, ModelEngine, StreamItem, StreamRequest,
} from '../../ports/model-engine.js';

export type StreamScript = (req: StreamRequest, signal: AbortSignal) => AsyncGenerator<Result<StreamItem, EngineError>, void>;

export type FakeModelEngine = ModelEngine & Readonly<{cancelled: readonly string[]; requests: readonly StreamRequest[]}>;

const STATE: EngineState = {
	groupIncarnation: 'g1', step: 7, mapEpoch: 0, map: {layers: []}, hold: undefined, releasedEpochs: [], running: 1, queued: 2, ageMillis: 5, stepMillis: 4, tokensPerSecond: 100, tokensPerExpert: [],
};

export function piece(offset: number, ...tokens: readonly string[]): Result<StreamItem, EngineError> {
	return succeed({tag: 'piece', piece: {offset, tokens}});
}

export function endAt(count: number): Result<StreamItem, EngineError> {
	return succeed({tag: 'end', end: {count}});
}

/** Waits until a script's stream is aborted. */
export async function waitForAbort(signal: AbortSignal): Promise<void> {
	if (signal.aborted) {
		return;
	}

	await new Promise<void>(resolve => {
		signal.addEventListener('abort', () => {
			resolve();
		}, {once: true});
	});
}

export function createFakeModelEngine(script: StreamScript, cacheEvents: readonly CacheEvent[] = []): FakeModelEngine {
	const cancelled: string[] = [];
	const requests: StreamRequest[] = [];
	const unused = async () => fail({tag: 'not_sent', detail: 'not used'} as const);
	return {
		cancelled,
		requests,
		stream(req, signal) {
			requests.push(req);
			return script(req, signal);
		},
		async cancel(attemptId) {
			cancelled.push(attemptId);
			return succeed(undefined);
		},
		readState: async () => succeed(STATE),
		readCacheEvents: async after => succeed(cacheEvents.filter(event => event.sequence > after)),
		order: unused,
		exportStream: unused,
		importStream: unused,
	};
}
