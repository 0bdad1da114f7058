/** Streams a model's answer to an entry. */
import {match} from 'ts-pattern';
import {createAnswerSender, type AnswerSender} from '../answer/answer-sender.js';
import {parseModelCall, type ModelCall} from '../answer/model-call.js';
import {encodeTokens} from '../answer/payload-units.js';
import type {UnknownReason} from '../core/outcome.js';
import type {Result} from '../core/result.js';
import type {EngineError, ModelEngine, StreamItem} from '../ports/model-engine.js';
import {OK_STATUS} from './agent-constants.js';
import type {AttemptTask} from './agent-parts.js';
import {refuseAttempt, reportBroken} from './attempt-reply.js';

type ModelRun = AttemptTask & Readonly<{
	engine: ModelEngine;
	sender: AnswerSender;
	/** Whether the entry no longer wants the answer: it cancelled the attempt, or its link has closed. */
	isAbandoned: () => boolean;
}>;

/** Runs a stream to its end, its deadline, or until `signal` aborts. A stream abandoned before its end is cancelled at the engine. */
export async function runModelAttempt(task: AttemptTask, engine: ModelEngine): Promise<void> {
	const {parts, channel, start, signal} = task;
	const call = parseModelCall(start.body);
	if (!call) {
		return refuseAttempt(task, 'bad_request');
	}

	const cancellation = new AbortController();
	const cancel = () => {
		cancellation.abort();
	};

	signal.addEventListener('abort', cancel, {once: true});
	void parts.ctx.clock.sleep(start.remainingMillis, cancellation.signal).then(cancel);
	const sender = createAnswerSender(start.attemptId, start.offset);
	await channel.send({$case: 'accepted', accepted: {attemptId: start.attemptId}});
	await relayStream({
		...task, engine, sender, signal: cancellation.signal, isAbandoned: () => signal.aborted,
	}, call);
	signal.removeEventListener('abort', cancel);
	cancel();
}

/** Why a stream was stopped before its end. */
function getAbortReason({isAbandoned}: ModelRun): UnknownReason {
	return isAbandoned() ? 'connection_lost' : 'deadline';
}

async function relayStream(run: ModelRun, call: ModelCall): Promise<void> {
	const {attemptId, priority, offset} = run.start;
	const req = {
		...call, attemptId, priority, offset,
	};
	for await (const item of run.engine.stream(req, run.signal)) {
		if (run.signal.aborted) {
			break;
		}

		if (await sendItem(run, item)) {
			return;
		}
	}

	// The engine's stream stopped without an end item.
	if (run.signal.aborted) {
		await run.engine.cancel(attemptId);
		return reportBroken(run, getAbortReason(run));
	}

	await reportBroken(run, 'backend_server_failed');
}

/** Sends one item to the entry; true when it was the last. */
async function sendItem(run: ModelRun, item: Result<StreamItem, EngineError>): Promise<boolean> {
	if (!item.ok) {
		await reportEngineError(run, item.error);
		return true;
	}

	return match(item.value)
		.with({tag: 'piece'}, async ({piece}) => {
			if (piece.offset !== run.sender.nextOffset()) {
				await reportBroken(run, 'backend_server_failed');
				await run.engine.cancel(run.start.attemptId);
				return true;
			}

			if (piece.tokens.length > 0) {
				const data = run.sender.createData(encodeTokens(piece.tokens), piece.tokens.length);
				await run.channel.send({$case: 'data', data});
			}

			return false;
		})
		.with({tag: 'end'}, async ({end}) => {
			await sendEnd(run, end.count);
			return true;
		})
		.exhaustive();
}

/** Ends the answer if all tokens that the engine counted have been sent. `count` covers the whole answer, from offset 0. */
async function sendEnd(run: ModelRun, count: number): Promise<void> {
	if (count !== run.sender.nextOffset()) {
		return reportBroken(run, 'backend_server_failed');
	}

	run.parts.attempts.finish(run.start.attemptId, 'answered');
	await run.channel.send({$case: 'end', end: run.sender.createEnd(OK_STATUS, false)});
}

async function reportEngineError(run: ModelRun, err: EngineError): Promise<void> {
	const {start, sender} = run;
	const hasSentTokens = sender.nextOffset() > start.offset;
	await match(err)
		.with({tag: 'not_sent'}, async () => hasSentTokens
			? reportBroken(run, 'backend_server_failed')
			: refuseAttempt(run, 'connection_refused'))
		.with({tag: 'refused'}, async () => hasSentTokens
			? reportBroken(run, 'backend_server_failed')
			: refuseAttempt(run, 'overload'))
		.with({tag: 'no_answer'}, async () => reportBroken(run, run.signal.aborted ? getAbortReason(run) : 'backend_server_failed'))
		.exhaustive();
}
