/** One attempt of a call at one backend server, from the first byte to its end. */
import type {AnswerHead, CallCodec} from '../ports/call-codec.js';
import type {Clock} from '../core/clock.js';
import type {AttemptEnd} from './attempt-end.js';
import {createAnswerSink, type AnswerSink, type SinkDeps} from './answer-sink.js';
import type {BackendConnections, Exchange} from './backend-connections.js';
import type {Call} from './call.js';

/** What an attempt needs besides its call. */
export type AttemptPlan = Readonly<{
	address: string;
	headers: string[];
	allowsIdle: boolean;
	/** Time until the attempt is broken off, in milliseconds. */
	limitMillis: number;
	sink: SinkDeps;
	/** Called with the head of each answer to this attempt. */
	onHead: (head: AnswerHead) => void;
}>;

/** What attempts share. */
export type AttemptDeps = Readonly<{
	connections: BackendConnections;
	codec: CallCodec;
	clock: Clock;
}>;

/** How an exchange with this head and without an error ended. */
function settleComplete(head: AnswerHead | undefined, sink: AnswerSink | undefined): AttemptEnd {
	if (!head || !sink) {
		return {tag: 'lost', detail: 'no answer'};
	}

	if (head.isNotRun) {
		return {tag: 'not_run', head};
	}

	if (head.isEncoded || (head.status < 300 && !head.isSigned)) {
		return {tag: 'lost', detail: 'the answer is not from a backend server'};
	}

	const rest = sink.finish();
	return rest === undefined ? {tag: 'passed'} : {tag: 'answered', head, body: rest};
}

/** Whether nothing of the body may reach the caller. */
function isUnusable(head: AnswerHead): boolean {
	return head.isNotRun || head.isEncoded || (head.status < 300 && !head.isSigned);
}

/** Sends the call and follows it; resolves once the exchange is over. */
export async function runAttempt({connections, codec, clock}: AttemptDeps, call: Call, plan: AttemptPlan): Promise<AttemptEnd> {
	return new Promise(resolve => {
		let wasSent = false;
		let head: AnswerHead | undefined;
		let sink: AnswerSink | undefined;
		let forced: AttemptEnd | undefined;
		const ended = new AbortController();

		function breakOff(end: AttemptEnd): void {
			forced ??= end;
			exchange.abort(end.tag);
		}

		const onCallerGone = () => {
			breakOff({tag: 'caller_left'});
		};

		call.gone.addEventListener('abort', onCallerGone, {once: true});
		const exchange: Exchange = connections.send(plan.address, {
			method: call.method, path: call.path, headers: plan.headers, body: call.body, allowsIdle: plan.allowsIdle,
		}, {
			onSent() {
				wasSent = true;
			},
			onHead(status, headers) {
				head = codec.readAnswer(status, headers);
				if (head.attemptId !== call.head.attemptId) {
					head = undefined;
					return false;
				}

				plan.onHead(head);
				sink = createAnswerSink(head, plan.sink);
				return true;
			},
			onData(bytes) {
				if (!head || !sink || isUnusable(head)) {
					return;
				}

				if (!sink.take(bytes)) {
					breakOff({tag: 'lost', detail: 'events are missing or repeated'});
				}

				if (call.reply.isFull()) {
					exchange.pause();
					call.reply.onDrain(() => {
						exchange.resume();
					});
				}
			},
			onEnd(error) {
				ended.abort();
				call.gone.removeEventListener('abort', onCallerGone);
				if (forced) {
					resolve(forced);
				} else if (error === undefined) {
					resolve(settleComplete(head, sink));
				} else {
					resolve(wasSent ? {tag: 'lost', detail: error} : {tag: 'not_sent', detail: error});
				}
			},
		});
		void clock.sleep(plan.limitMillis, ended.signal).then(() => {
			if (!ended.signal.aborted) {
				breakOff({tag: 'late'});
			}
		});
		if (call.gone.aborted) {
			onCallerGone();
		}
	});
}
