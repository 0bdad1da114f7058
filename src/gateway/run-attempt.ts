/** One attempt of a call at one backend server, from the first byte to its end. */
import type {CallCodec} from '../ports/call-codec.js';
import type {Clock} from '../core/clock.js';
import type {FramedHead} from './answer-framing.js';
import type {AttemptOutcome} from './attempt-outcome.js';
import {createAnswerSink, type AnswerSink, type SinkDeps} from './answer-sink.js';
import type {BackendConnections, Exchange} from './backend-connections.js';
import type {Call} from './call.js';

/** How long a backend server may be silent while others work. */
export type SilenceLimit = Readonly<{
	/** Before the first byte of the answer, in milliseconds. */
	firstByteMillis: number;
	/** Between two pieces of it, in milliseconds. */
	pauseMillis: number;
	isOtherAlive: () => boolean;
}>;

/** Time between two looks whether others work, in milliseconds. */
const SILENCE_CHECK_MILLIS = 100;

/** What an attempt needs besides its call. */
export type AttemptPlan = Readonly<{
	address: string;
	headers: string[];
	allowsLongIdleConnection: boolean;
	/** Idle connections to the address that are kept at most. */
	maxIdleConnections: number;
	/** Time until the attempt is broken off, in milliseconds. */
	timeoutMillis: number;
	sink: SinkDeps;
	/** When silence ends the attempt; undefined when it never does. */
	silenceLimit: SilenceLimit | undefined;
	/** Called with each sign of life of the backend server. */
	onProgress: () => void;
	/** Called with the head of each answer to this attempt. */
	onHead: (head: FramedHead) => void;
}>;

/** What attempts share. */
export type AttemptDeps = Readonly<{
	connections: BackendConnections;
	codec: CallCodec;
	clock: Clock;
}>;

/** Whether a head cannot come from a backend server, so that nothing of its body may reach the caller. */
function isForeign(head: FramedHead): boolean {
	return head.isEncoded || (head.status < 300 && !head.isSigned);
}

/** How an exchange with this head and without an error ended. */
function settleComplete(head: FramedHead | undefined, sink: AnswerSink | undefined): AttemptOutcome {
	if (!head || !sink) {
		return {tag: 'lost', detail: 'no answer'};
	}

	if (head.isNotRun) {
		return {tag: 'not_run', head};
	}

	if (isForeign(head)) {
		return {tag: 'lost', detail: 'the answer is not from a backend server'};
	}

	const rest = sink.finish();
	return rest === undefined ? {tag: 'passed'} : {tag: 'answered', head, body: rest};
}

/** Sends the call and follows it; resolves once the exchange is over. */
export async function runAttempt({connections, codec, clock}: AttemptDeps, call: Call, plan: AttemptPlan): Promise<AttemptOutcome> {
	return new Promise(resolve => {
		let wasSent = false;
		let head: FramedHead | undefined;
		let sink: AnswerSink | undefined;
		let forced: AttemptOutcome | undefined;
		let heardAtMillis = clock.monotonicMillis();
		const ended = new AbortController();

		function noteProgress(): void {
			heardAtMillis = clock.monotonicMillis();
			plan.onProgress();
		}

		/** Breaks the attempt off once the backend server has been silent for too long while others were not. */
		async function watchSilence({firstByteMillis: firstMillis, pauseMillis, isOtherAlive}: SilenceLimit): Promise<void> {
			while (!ended.signal.aborted) {
				const limitMillis = head ? pauseMillis : firstMillis;
				const leftMillis = heardAtMillis + limitMillis - clock.monotonicMillis();
				if (leftMillis <= 0 && isOtherAlive()) {
					breakOff({tag: 'lost', detail: `silent for ${limitMillis} ms while others work`});
					return;
				}

				// eslint-disable-next-line no-await-in-loop -- One look after the other.
				await clock.sleep(Math.max(SILENCE_CHECK_MILLIS, leftMillis), ended.signal);
			}
		}

		function breakOff(end: AttemptOutcome): void {
			forced ??= end;
			exchange.abort(end.tag);
		}

		const onCallerGone = () => {
			breakOff({tag: 'caller_left'});
		};

		call.disconnectSignal.addEventListener('abort', onCallerGone, {once: true});
		const exchange: Exchange = connections.send(plan.address, {
			method: call.method, path: call.path, headers: plan.headers, body: call.body, allowsLongIdleConnection: plan.allowsLongIdleConnection, maxIdleConnections: plan.maxIdleConnections,
		}, {
			onSent() {
				wasSent = true;
			},
			onHead({status, headers, isEndedByConnection}) {
				const read = {...codec.readAnswer(status, headers), isEndedByConnection};
				if (read.attemptId !== call.head.attemptId) {
					return false;
				}

				head = read;

				noteProgress();
				plan.onHead(head);
				sink = createAnswerSink(head, plan.sink);
				return true;
			},
			onData(bytes) {
				noteProgress();
				if (!head || !sink || head.isNotRun || isForeign(head)) {
					return;
				}

				if (!sink.push(bytes)) {
					breakOff({tag: 'lost', detail: 'events are missing or repeated'});
				}

				if (call.reply.needsDrain()) {
					exchange.pause();
					call.reply.onDrain(() => {
						exchange.resume();
					});
				}
			},
			onEnd(error) {
				ended.abort();
				call.disconnectSignal.removeEventListener('abort', onCallerGone);
				if (forced) {
					resolve(forced);
				} else if (error === undefined) {
					resolve(settleComplete(head, sink));
				} else {
					resolve(wasSent ? {tag: 'lost', detail: error} : {tag: 'not_sent', detail: error});
				}
			},
		});
		if (plan.silenceLimit) {
			void watchSilence(plan.silenceLimit);
		}

		void clock.sleep(plan.timeoutMillis, ended.signal).then(() => {
			if (!ended.signal.aborted) {
				breakOff({tag: 'late'});
			}
		});
		if (call.disconnectSignal.aborted) {
			onCallerGone();
		}
	});
}
