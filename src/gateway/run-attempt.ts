/** Runs one attempt of a call at one backend server. */
import {setImmediate as waitForTurn} from 'node:timers/promises';
import {match} from 'ts-pattern';
import type {AnswerMetadata, CallCodec} from '../ports/call-codec.js';
import type {Clock} from '../core/clock.js';
import type {FramedHead} from './answer-framing.js';
import type {AttemptOutcome} from './attempt-outcome.js';
import {createAnswerSink, type AnswerSink, type SinkDeps} from './answer-sink.js';
import type {BackendConnections, Exchange} from './backend-connections.js';
import type {Call} from './call.js';
import {MAX_REFUSAL_BYTES} from './gateway-constants.js';

/** How long a backend server may send nothing while others make progress. */
export type SilenceLimit = Readonly<{
	/** Before the first data of the answer, or its first event, in milliseconds. */
	firstByteMillis: number;
	/** Between two chunks of the answer, or two events of a stream, in milliseconds. */
	pauseMillis: number;
	isOtherAlive: () => boolean;
}>;

/** Interval between checks whether other backend servers make progress, in milliseconds. */
const SILENCE_CHECK_INTERVAL_MILLIS = 100;

/** Parameters of an attempt besides its call. */
export type AttemptPlan = Readonly<{
	address: string;
	headers: string[];
	allowsLongIdleConnection: boolean;
	/** Maximum number of idle connections kept to the address. */
	maxIdleConnections: number;
	/** Time after which the attempt is aborted, in milliseconds. */
	timeoutMillis: number;
	sink: SinkDeps;
	/** Limit on the time without data; undefined if there is no limit. */
	silenceLimit: SilenceLimit | undefined;
	/** Aborts when the call is to be continued at another backend server. */
	moveSignal: AbortSignal;
	/** Aborts when the process is about to end. */
	cutOffSignal: AbortSignal;
	/** Called whenever data arrives from the backend server. */
	onProgress: () => void;
	/** Called with the headers of each answer to this attempt. */
	onHead: (head: FramedHead) => void;
	/** Called with all headers that arrive on the connection, first: also if the attempt has been given up, or they are no answer to it. */
	onAnyHead: (head: AnswerMetadata) => void;
}>;

/** Dependencies shared by all attempts. */
export type AttemptDeps = Readonly<{
	connections: BackendConnections;
	codec: CallCodec;
	clock: Clock;
}>;

const NOT_FROM_BACKEND_SERVER = 'answer does not come from a backend server';

/** Whether the headers cannot come from a backend server, so that none of the body may reach the caller. */
function isNotFromBackendServer(head: FramedHead): boolean {
	return head.isEncoded || (head.status < 300 && !head.isSigned);
}

/** Outcome of an exchange that ended without an error. */
function classifyCompleteExchange(head: FramedHead | undefined, sink: AnswerSink | undefined): AttemptOutcome {
	if (!head || !sink) {
		return {tag: 'lost', detail: 'exchange ended without an answer'};
	}

	if (head.isNotRun) {
		return {tag: 'not_run', head};
	}

	if (isNotFromBackendServer(head)) {
		return {tag: 'lost', detail: NOT_FROM_BACKEND_SERVER};
	}

	return match(sink.finish())
		.returnType<AttemptOutcome>()
		.with({tag: 'forwarded'}, () => ({tag: 'passed'}))
		.with({tag: 'buffered'}, ({body}) => ({tag: 'answered', head, body}))
		.with({tag: 'truncated'}, () => ({tag: 'lost', detail: 'the stream ended before or inside an event'}))
		.exhaustive();
}

/** Lets the event loop read what has arrived: after the process was busy, timers fire before that. */
async function waitForArrived(): Promise<void> {
	await waitForTurn();
}

/** Sends the call and resolves once the exchange has ended. */
export async function runAttempt({connections, codec, clock}: AttemptDeps, call: Call, plan: AttemptPlan): Promise<AttemptOutcome> {
	return new Promise(resolve => {
		let wasSent = false;
		let head: FramedHead | undefined;
		let sink: AnswerSink | undefined;
		let abortOutcome: AttemptOutcome | undefined;
		let hasData = false;
		let receivedBytes = 0;
		/** Whether the backend server is held back because the caller reads too slowly. */
		let isPaused = false;
		let wasPausedSinceEvent = false;
		let lastProgressAtMillis = clock.monotonicMillis();
		const ended = new AbortController();

		function noteData(): void {
			hasData = true;
			noteProgress();
		}

		function noteProgress(): void {
			lastProgressAtMillis = clock.monotonicMillis();
			plan.onProgress();
		}

		/** Aborts the attempt once the backend server has sent nothing for too long while others make progress. */
		async function watchSilence({firstByteMillis, pauseMillis, isOtherAlive}: SilenceLimit): Promise<void> {
			while (!ended.signal.aborted) {
				if (isPaused) {
					lastProgressAtMillis = clock.monotonicMillis();
				}

				const limitMillis = hasData ? pauseMillis : firstByteMillis;
				const checkedProgressAtMillis = lastProgressAtMillis;
				const leftMillis = lastProgressAtMillis + limitMillis - clock.monotonicMillis();
				/* eslint-disable no-await-in-loop -- Polls sequentially. */
				if (leftMillis <= 0 && isOtherAlive()) {
					await waitForArrived();
					if (!ended.signal.aborted && lastProgressAtMillis === checkedProgressAtMillis) {
						abortWith({tag: 'lost', detail: `no data for ${limitMillis} ms while other backend servers made progress`, isSilent: true});
						return;
					}
				}

				await clock.sleep(Math.max(SILENCE_CHECK_INTERVAL_MILLIS, leftMillis), ended.signal);
				/* eslint-enable no-await-in-loop */
			}
		}

		function abortWith(outcome: AttemptOutcome): void {
			abortOutcome ??= outcome;
			exchange.abort(outcome.tag);
		}

		const onCallerDisconnected = () => {
			abortWith({tag: 'caller_left'});
		};

		const onMoved = () => {
			abortWith({tag: 'moved'});
		};

		const onCutOff = () => {
			abortWith({tag: 'late', cause: 'stopping'});
		};

		call.disconnectSignal.addEventListener('abort', onCallerDisconnected, {once: true});
		plan.cutOffSignal.addEventListener('abort', onCutOff, {once: true});
		plan.moveSignal.addEventListener('abort', onMoved, {once: true});
		const exchange: Exchange = connections.send(plan.address, {
			method: call.method, path: call.path, headers: plan.headers, body: call.body, allowsLongIdleConnection: plan.allowsLongIdleConnection, maxIdleConnections: plan.maxIdleConnections,
		}, {
			onSent() {
				wasSent = true;
			},
			onHead({status, headers, isEndedByConnection}) {
				const parsedHead = {...codec.readAnswer(status, headers), isEndedByConnection};
				plan.onAnyHead(parsedHead);
				if (parsedHead.attemptId !== call.head.attemptId) {
					return false;
				}

				head = parsedHead;
				if (!head.isNotRun && isNotFromBackendServer(head)) {
					abortWith({tag: 'lost', detail: NOT_FROM_BACKEND_SERVER});
					return true;
				}

				noteProgress();
				plan.onHead(head);
				sink = createAnswerSink(head, {
					...plan.sink,
					onEvent(pauseMillis) {
						noteData();
						// A pause that the caller has caused says nothing about the load of the backend servers.
						plan.sink.onEvent(wasPausedSinceEvent ? undefined : pauseMillis);
						wasPausedSinceEvent = isPaused;
					},
				});
				return true;
			},
			onData(bytes) {
				// In a stream only whole events count: a stalled backend server may still send a byte now and then.
				if (!sink?.isEventStream) {
					noteData();
				}

				receivedBytes += bytes.length;
				if (head?.isNotRun && receivedBytes > MAX_REFUSAL_BYTES) {
					abortWith({tag: 'not_run', head});
				}

				if (!head || !sink || head.isNotRun || isNotFromBackendServer(head)) {
					return;
				}

				const fault = sink.push(bytes);
				if (fault !== undefined) {
					abortWith({tag: 'lost', detail: fault});
				}

				if (!isPaused && call.reply.needsDrain()) {
					isPaused = true;
					wasPausedSinceEvent = true;
					exchange.pause();
					call.reply.onDrain(() => {
						isPaused = false;
						lastProgressAtMillis = clock.monotonicMillis();
						exchange.resume();
					});
				}
			},
			onLateHead({status, headers}) {
				plan.onAnyHead(codec.readAnswer(status, headers));
			},
			onEnd(error) {
				ended.abort();
				call.disconnectSignal.removeEventListener('abort', onCallerDisconnected);
				plan.moveSignal.removeEventListener('abort', onMoved);
				plan.cutOffSignal.removeEventListener('abort', onCutOff);
				if (abortOutcome) {
					resolve(abortOutcome);
				} else if (error === undefined) {
					resolve(classifyCompleteExchange(head, sink));
				} else {
					resolve(wasSent ? {tag: 'lost', detail: error} : {tag: 'not_sent', detail: error});
				}
			},
		});
		if (plan.silenceLimit) {
			void watchSilence(plan.silenceLimit);
		}

		void clock.sleep(plan.timeoutMillis, ended.signal).then(async () => {
			await waitForArrived();
			if (!ended.signal.aborted) {
				abortWith({tag: 'late'});
			}
		});
		if (call.disconnectSignal.aborted) {
			onCallerDisconnected();
		}
	});
}
