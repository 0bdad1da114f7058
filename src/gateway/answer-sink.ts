/** Takes the answer of an attempt: holds it until it is complete, or passes it on as it comes. */
import {Buffer} from 'node:buffer';
import type {Clock} from '../core/clock.js';
import type {FramedHead} from './answer-framing.js';
import type {CallReply} from './call.js';
import {createEventSplitter, type EventSplitter, type StreamEvent} from './event-splitter.js';
import {MAX_BUFFERED_ANSWER_BYTES} from './gateway-constants.js';

/** How far the answer to a call has come over its attempts. */
export type AnswerProgress = {
	/** Id of the last event that was passed on. */
	lastEventId: number | undefined;
	/** Monotonic time of the last event; undefined before the first. */
	lastEventAtMillis: number | undefined;
};

/** What a sink needs of its call. */
export type SinkDeps = Readonly<{
	reply: CallReply;
	clock: Clock;
	isStreaming: boolean;
	progress: AnswerProgress;
	/** Called with the time since the event before it, or undefined for the first one. */
	onEvent: (pauseMillis: number | undefined) => void;
}>;

/** Takes one answer. */
export type AnswerSink = Readonly<{
	/** False when the bytes cannot be what follows on those passed on before. */
	push: (bytes: Uint8Array) => boolean;
	/** Bytes of a complete answer that were not passed on; undefined when all were. */
	finish: () => Uint8Array | undefined;
}>;

/** Passes on whole events, so that another attempt can continue behind the last one. */
function createEventSink(head: FramedHead, {reply, clock, progress, onEvent}: SinkDeps): AnswerSink {
	const splitter: EventSplitter = createEventSplitter();
	let hasPassed = false;

	function passOn(bytes: Uint8Array): void {
		if (!reply.areHeadersSent()) {
			reply.writeHead(head.status, head.forwardedHeaders, head.isEndedByConnection);
		}

		hasPassed = true;
		reply.write(bytes);
	}

	function takeEvent({id, bytes}: StreamEvent): boolean {
		const {lastEventId, lastEventAtMillis} = progress;
		if (id !== undefined && lastEventId !== undefined && id !== lastEventId + 1) {
			return false;
		}

		const nowMillis = clock.monotonicMillis();
		onEvent(lastEventAtMillis === undefined ? undefined : nowMillis - lastEventAtMillis);
		progress.lastEventId = id ?? lastEventId;
		progress.lastEventAtMillis = nowMillis;
		passOn(bytes);
		return true;
	}

	return {
		push: bytes => splitter.push(bytes).every(event => takeEvent(event)),
		finish() {
			const rest = splitter.rest();
			if (rest.length > 0) {
				passOn(rest);
			}

			return hasPassed ? undefined : new Uint8Array(0);
		},
	};
}

/** Holds an answer until it is complete, unless it is large. */
function createHoldingSink(head: FramedHead, {reply}: SinkDeps): AnswerSink {
	let held: Uint8Array[] = [];
	let size = 0;
	let isPassing = (head.contentLength ?? 0) > MAX_BUFFERED_ANSWER_BYTES;

	function passHeld(): void {
		if (!reply.areHeadersSent()) {
			reply.writeHead(head.status, head.forwardedHeaders, head.isEndedByConnection);
		}

		for (const piece of held) {
			reply.write(piece);
		}

		held = [];
	}

	return {
		push(bytes) {
			held.push(bytes);
			size += bytes.length;
			isPassing ||= size > MAX_BUFFERED_ANSWER_BYTES;
			if (isPassing) {
				passHeld();
			}

			return true;
		},
		finish() {
			if (isPassing) {
				passHeld();
				return undefined;
			}

			return Buffer.concat(held);
		},
	};
}

/** Creates the sink for an answer with this head. */
export function createAnswerSink(head: FramedHead, deps: SinkDeps): AnswerSink {
	const isEventStream = deps.isStreaming && head.status >= 200 && head.status < 300;
	return isEventStream ? createEventSink(head, deps) : createHoldingSink(head, deps);
}
