import {fail, succeed, type Result} from '../../src/core/result.js';
import type {AttemptId} from '../../src/core/ids.js';
import type {StreamItem, StreamRequest} from '../../src/ports/model-engine.js';
import {expectedToken} from './expected-tokens.js';

/** Why a stream was refused. */
export type StreamRefusal = Readonly<{tag: 'refused'; reason: 'queue_full' | 'attempt_exists' | 'unknown_attempt'}>;

/** Takes the items of one stream. */
export type StreamSink = Readonly<{push: (item: StreamItem) => void; close: () => void}>;

/** What became of a stream, for the records. */
export type StreamRecord = Readonly<{
	attemptId: AttemptId;
	fromOffset: number;
	nextOffset: number;
	state: 'queued' | 'running' | 'whole' | 'cancelled';
}>;

type BatchStream = {
	readonly req: StreamRequest;
	readonly sink: StreamSink;
	readonly sequence: number;
	prefillSteps: number;
	nextOffset: number;
	state: StreamRecord['state'];
};

/** Streams of one engine: some run, the others wait by priority. */
export type Batch = {
	readonly add: (req: StreamRequest, prefillSteps: number, sink: StreamSink) => Result<void, StreamRefusal>;
	readonly cancel: (attemptId: AttemptId) => Result<void, StreamRefusal>;
	/** An open stream of this attempt. */
	readonly read: (attemptId: AttemptId) => Readonly<{req: StreamRequest; nextOffset: number}> | undefined;
	/** Runs one step: fills free places, then each running stream gets a token. */
	readonly advance: () => void;
	readonly counts: () => Readonly<{running: number; queued: number}>;
	readonly records: () => readonly StreamRecord[];
};

function compareUrgency(left: BatchStream, right: BatchStream): number {
	return right.req.priority - left.req.priority || left.sequence - right.sequence;
}

function emitToken(stream: BatchStream): void {
	const {req: {prompt, maxTokens}, sink} = stream;
	if (stream.prefillSteps > 0) {
		stream.prefillSteps -= 1;
		return;
	}

	if (stream.nextOffset < maxTokens) {
		const offset = stream.nextOffset;
		sink.push({tag: 'piece', piece: {offset, tokens: [expectedToken(prompt, offset)]}});
		stream.nextOffset += 1;
	}

	if (stream.nextOffset >= maxTokens) {
		stream.state = 'whole';
		sink.push({tag: 'end', end: {count: maxTokens}});
		sink.close();
	}
}

/** Ended streams kept for the records. */
const KEPT_ENDED = 10_000;

function toRecord({req, nextOffset, state}: BatchStream): StreamRecord {
	return {
		attemptId: req.attemptId, fromOffset: req.offset, nextOffset, state,
	};
}

/** Creates an empty batch with `capacity` running and `queueLimit` waiting places. */
export function createBatch(capacity: number, queueLimit: number): Batch {
	const open = new Map<AttemptId, BatchStream>();
	const ended = new Map<AttemptId, StreamRecord>();
	const inState = (state: StreamRecord['state']) => [...open.values()].filter(stream => stream.state === state);
	let sequence = 0;

	function fill(): void {
		const free = capacity - inState('running').length;
		for (const stream of inState('queued').toSorted(compareUrgency).slice(0, Math.max(0, free))) {
			stream.state = 'running';
		}
	}

	function forget(stream: BatchStream): void {
		open.delete(stream.req.attemptId);
		ended.set(stream.req.attemptId, toRecord(stream));
		const [oldest] = ended.keys();
		if (oldest !== undefined && ended.size > KEPT_ENDED) {
			ended.delete(oldest);
		}
	}

	return {
		add(req, prefillSteps, sink) {
			if (open.has(req.attemptId) || ended.has(req.attemptId)) {
				return fail({tag: 'refused', reason: 'attempt_exists'});
			}

			if (inState('queued').length >= queueLimit) {
				return fail({tag: 'refused', reason: 'queue_full'});
			}

			sequence += 1;
			open.set(req.attemptId, {
				req, sink, sequence, prefillSteps, nextOffset: req.offset, state: 'queued',
			});
			return succeed(undefined);
		},
		cancel(attemptId) {
			const stream = open.get(attemptId);
			if (!stream) {
				return fail({tag: 'refused', reason: 'unknown_attempt'});
			}

			stream.state = 'cancelled';
			forget(stream);
			stream.sink.close();
			return succeed(undefined);
		},
		read: attemptId => open.get(attemptId),
		advance() {
			fill();
			for (const stream of inState('running')) {
				emitToken(stream);
				if (stream.state === 'whole') {
					forget(stream);
				}
			}
		},
		counts: () => ({running: inState('running').length, queued: inState('queued').length}),
		records: () => [...ended.values(), ...[...open.values()].map(stream => toRecord(stream))],
	};
}
