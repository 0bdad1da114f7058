/** Consumes the answer of an attempt: buffers it until it is complete, or forwards it as it arrives. */
import {createByteCollector} from '../core/byte-collector.js';
import type {Clock} from '../core/clock.js';
import type {FramedHead} from './answer-framing.js';
import type {CallReply} from './call.js';
import {
	CARRIAGE_RETURN, createEventSplitter, LINE_FEED, type EventSplitter, type StreamEvent,
} from './event-splitter.js';
import {MAX_BUFFERED_ANSWER_BYTES, MAX_UNFINISHED_BYTES} from './gateway-constants.js';

/** Progress of the answer to a call across its attempts. */
export type AnswerProgress = {
	/** Id of the last event forwarded to the caller. */
	lastEventId: number | undefined;
	/** Monotonic time of the last event; undefined before the first. */
	lastEventAtMillis: number | undefined;
	/** Whether another attempt can continue what was forwarded so far: nothing, or events up to one with an id. */
	canContinue: boolean;
};

/** Dependencies of a sink, taken from its call. */
export type SinkDeps = Readonly<{
	reply: CallReply;
	clock: Clock;
	isStreaming: boolean;
	progress: AnswerProgress;
	/** Called for each event with the time since the previous one; undefined for the first, and for one that the caller has held up. */
	onEvent: (pauseMillis: number | undefined) => void;
}>;

/** Consumer of one answer body. */
export type AnswerSink = Readonly<{
	/** Whether the body is consumed event by event. */
	isEventStream: boolean;
	/** Returns why the answer is to be given up; undefined if the bytes continue it. */
	push: (bytes: Uint8Array) => string | undefined;
	/** Ends an answer whose framing is complete. */
	finish: () => SinkResult;
}>;

/** What became of an answer whose framing is complete. */
export type SinkResult
	/** All of it was forwarded; nothing, if it is the end of a stream that has begun. */
	= | Readonly<{tag: 'forwarded'}>
	/** It is still to be delivered. */
		| Readonly<{tag: 'buffered'; body: Uint8Array}>
	/** It is a stream that ends inside an event. */
		| Readonly<{tag: 'truncated'}>;

/** Forwards only complete events, so that another attempt can resume after the last one. */
function createEventSink(head: FramedHead, {reply, clock, progress, onEvent}: SinkDeps): AnswerSink {
	const splitter: EventSplitter = createEventSplitter();
	const isContinuation = reply.areHeadersSent();
	let hasEvents = false;
	/** Whether this answer is known to begin where the former one broke off. */
	let isInSequence = !isContinuation;

	function forward(bytes: Uint8Array): void {
		if (!reply.areHeadersSent()) {
			reply.writeHead(head.status, head.forwardedHeaders);
		}

		reply.write(bytes);
	}

	/** Notes an event that is to be forwarded; false if it does not continue the answer. */
	function acceptEvent({id, isComment}: StreamEvent): boolean {
		const {lastEventId, lastEventAtMillis} = progress;
		if (isComment) {
			return true;
		}

		if (id === undefined ? !isInSequence : lastEventId !== undefined && id !== lastEventId + 1) {
			return false;
		}

		isInSequence = true;
		hasEvents = true;
		progress.canContinue = id !== undefined;

		const nowMillis = clock.monotonicMillis();
		onEvent(lastEventAtMillis === undefined ? undefined : nowMillis - lastEventAtMillis);
		progress.lastEventId = id ?? lastEventId;
		progress.lastEventAtMillis = nowMillis;
		return true;
	}

	return {
		isEventStream: true,
		push(bytes) {
			const events = splitter.push(bytes);
			const accepted = createByteCollector();
			const isContinued = events.every(event => {
				const isAccepted = acceptEvent(event);
				if (isAccepted) {
					accepted.append(event.bytes);
				}

				return isAccepted;
			});
			if (accepted.size() > 0) {
				forward(accepted.take());
			}

			if (!isContinued) {
				return 'event ids are not consecutive';
			}

			return splitter.countUnfinishedBytes() > MAX_UNFINISHED_BYTES ? `event of more than ${MAX_UNFINISHED_BYTES} bytes` : undefined;
		},
		finish() {
			// Without framing, a crash right after the headers looks the same as a stream without events.
			const hasNotBegun = head.isEndedByConnection && !hasEvents;
			if (hasNotBegun || splitter.takeRest().some(byte => byte !== LINE_FEED && byte !== CARRIAGE_RETURN)) {
				return {tag: 'truncated'};
			}

			return reply.areHeadersSent() ? {tag: 'forwarded'} : {tag: 'buffered', body: new Uint8Array(0)};
		},
	};
}

/** Buffers an answer until it is complete; forwards one that exceeds the buffer limit, unless another one has begun. */
function createBufferingSink(head: FramedHead, {reply, progress}: SinkDeps): AnswerSink {
	const hasOtherBegun = reply.areHeadersSent();
	const buffered = createByteCollector();
	let size = 0;
	let isForwarding = (head.contentLength ?? 0) > MAX_BUFFERED_ANSWER_BYTES;
	const isErrorOfUnknownLength = head.status >= 300 && head.contentLength === undefined;

	function forwardBuffered(): void {
		if (!reply.areHeadersSent()) {
			reply.writeHead(head.status, head.forwardedHeaders);
		}

		if (buffered.size() > 0) {
			reply.write(buffered.take());
		}

		progress.canContinue = false;
	}

	return {
		isEventStream: false,
		push(bytes) {
			buffered.append(bytes);
			size += bytes.length;
			if (isErrorOfUnknownLength && size > MAX_UNFINISHED_BYTES) {
				return `error of more than ${MAX_UNFINISHED_BYTES} bytes`;
			}

			isForwarding ||= size > MAX_BUFFERED_ANSWER_BYTES;
			if (isForwarding && hasOtherBegun) {
				return `status ${head.status} with a body that does not continue the answer`;
			}

			if (isForwarding) {
				forwardBuffered();
			}

			return undefined;
		},
		finish() {
			if (isForwarding) {
				forwardBuffered();
				return {tag: 'forwarded'};
			}

			return {tag: 'buffered', body: buffered.take()};
		},
	};
}

/** Whether the answer is consumed event by event. One without a type may be an event stream, but does not continue another one. */
function isConsumedByEvent({status, isEventStream}: FramedHead, {isStreaming, reply}: SinkDeps): boolean {
	return isStreaming && status >= 200 && status < 300 && (isEventStream ?? !reply.areHeadersSent());
}

/** Creates the sink for an answer with these headers. */
export function createAnswerSink(head: FramedHead, deps: SinkDeps): AnswerSink {
	const isEventStream = isConsumedByEvent(head, deps);
	return isEventStream ? createEventSink(head, deps) : createBufferingSink(head, deps);
}
