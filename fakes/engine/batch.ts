import {fail, succeed, type Result} from '../../src/core/result.js';
import type {AttemptId} from '../../src/core/ids.js';
import type {StreamItem, StreamRequest} from '../../src/ports/model-engine.js';
import {expectedToken} from './expected-tokens.js';

/** Why a stream was refused. */
export type StreamRefusal = Readonly<{tag: 'refused'; reason: 'queue_full' | 'attempt_exists' | 'unknown_attempt'}>;

/** Receives the items of one stream. */
export type StreamSink = Readonly<{push: (item: StreamItem) => void; close: () => void}>;

/** Progress or final state of a stream, as written to the records. */
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
	remainingPrefillSteps: number;
	nextOffset: number;
	state: StreamRecord['state'];
};

/** Streams of one engine: some are running, the others are queued by priority. */
export type Batch = {
	readonly add: (req: StreamRequest, prefillSteps: number, sink: StreamSink) => Result<void, StreamRefusal>;
	readonly cancel: (attemptId: AttemptId) => Result<void, StreamRefusal>;
	/** The stream of this attempt, if it is queued or running. */
	readonly findOpenStream: (attemptId: AttemptId) => Readonly<{req: StreamRequest; nextOffset: number}> | undefined;
	/** Runs one step: assigns free slots to queued streams, then advances each running stream by one prefill step or token. */
	readonly advanceStreams: () => void;
	readonly counts: () => Readonly<{running: number; queued: number}>;
	readonly records: () => readonly StreamRecord[];
};

function compareByPriority(left: BatchStream, right: BatchStream): number {
	return right.req.priority - left.req.priority || left.sequence - right.sequence;
}

function advanceStream(stream: BatchStream): void {
	const {req: {prompt, maxTokens}, sink} = stream;
	if (stream.remainingPrefillSteps > 0) {
		stream.remainingPrefillSteps -= 1;
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

/** Ended streams that stay in the records. */
const MAX_ENDED_RECORDS = 10_000;

function toRecord({req, nextOffset, state}: BatchStream): StreamRecord {
	return {
		attemptId: req.attemptId, fromOffset: req.offset, nextOffset, state,
	};
}

/** Creates an empty batch with `capacity` running slots and room for `queueLimit` queued streams. */
export function createBatch(capacity: number, queueLimit: number): Batch {
	const openStreams = new Map<AttemptId, BatchStream>();
	const endedRecords = new Map<AttemptId, StreamRecord>();
	const streamsInState = (state: StreamRecord['state']) => [...openStreams.values()].filter(stream => stream.state === state);
	let sequence = 0;

	function fillSlots(): void {
		const freeSlots = capacity - streamsInState('running').length;
		for (const stream of streamsInState('queued').toSorted(compareByPriority).slice(0, Math.max(0, freeSlots))) {
			stream.state = 'running';
		}
	}

	function moveToEnded(stream: BatchStream): void {
		openStreams.delete(stream.req.attemptId);
		endedRecords.set(stream.req.attemptId, toRecord(stream));
		const [oldest] = endedRecords.keys();
		if (oldest !== undefined && endedRecords.size > MAX_ENDED_RECORDS) {
			endedRecords.delete(oldest);
		}
	}

	return {
		add(req, prefillSteps, sink) {
			if (openStreams.has(req.attemptId) || endedRecords.has(req.attemptId)) {
				return fail({tag: 'refused', reason: 'attempt_exists'});
			}

			if (streamsInState('queued').length >= queueLimit) {
				return fail({tag: 'refused', reason: 'queue_full'});
			}

			sequence += 1;
			openStreams.set(req.attemptId, {
				req, sink, sequence, remainingPrefillSteps: prefillSteps, nextOffset: req.offset, state: 'queued',
			});
			return succeed(undefined);
		},
		cancel(attemptId) {
			const stream = openStreams.get(attemptId);
			if (!stream) {
				return fail({tag: 'refused', reason: 'unknown_attempt'});
			}

			stream.state = 'cancelled';
			moveToEnded(stream);
			stream.sink.close();
			return succeed(undefined);
		},
		findOpenStream: attemptId => openStreams.get(attemptId),
		advanceStreams() {
			fillSlots();
			for (const stream of streamsInState('running')) {
				advanceStream(stream);
				if (stream.state === 'whole') {
					moveToEnded(stream);
				}
			}
		},
		counts: () => ({running: streamsInState('running').length, queued: streamsInState('queued').length}),
		records: () => [...endedRecords.values(), ...[...openStreams.values()].map(stream => toRecord(stream))],
	};
}
