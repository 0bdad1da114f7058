/** Calls the plain service; a non-idempotent call goes through the ledger. */
import {match} from 'ts-pattern';
import {createAnswerSender} from '../answer/answer-sender.js';
import {unknownOutcome} from '../core/outcome.js';
import type {Result} from '../core/result.js';
import {digestKey, digestKeyless} from '../ledger/key-digest.js';
import type {JoinedOutcome, LedgerOutcome} from '../ledger/ledger-types.js';
import type {PlainAnswer, PlainCallError, PlainService} from '../ports/plain-service.js';
import type {StartAttempt} from '../wire/generated/link.js';
import {MAX_DATA_PAYLOAD_BYTES} from './agent-constants.js';
import type {AttemptTask, EntryChannel} from './agent-parts.js';
import {refuseAttempt, reportBroken} from './attempt-reply.js';

/** Runs a call to its end, even when the link to the entry that started it closes. */
export async function runPlainAttempt(task: AttemptTask, plain: PlainService): Promise<void> {
	return task.start.idempotent
		? runIdempotent(task, plain)
		: runNonIdempotent(task, plain);
}

async function runIdempotent(task: AttemptTask, plain: PlainService): Promise<void> {
	await accept(task.channel, task.start);
	const answer = await callPlain(plain, task.start);
	await sendJoinedOutcome(task, toJoinedOutcome(answer), false);
}

/** Lets the ledger decide whether the call runs, joins a running call, gets a recorded outcome, or is refused. */
async function runNonIdempotent(task: AttemptTask, plain: PlainService): Promise<void> {
	const {parts, start} = task;
	if (!parts.ctx.audit.hasRoom()) {
		return refuseAttempt(task, 'audit_full');
	}

	const keyDigest = createKeyDigest(start);
	const {account, requestDigest, attemptId, boundIncarnation} = start;
	const decision = parts.ledger.begin({
		account, keyDigest, requestDigest, attemptId, boundIncarnation,
	});
	await match(decision)
		.with({tag: 'run'}, async () => runAndRecord(task, plain, keyDigest))
		.with({tag: 'join'}, async ({end}) => joinRunning(task, end))
		.with({tag: 'ended'}, async ({end}) => sendJoinedOutcome(task, end, true))
		.with({tag: 'refused'}, async ({reason}) => refuseAttempt(task, reason))
		.exhaustive();
}

async function runAndRecord(task: AttemptTask, plain: PlainService, keyDigest: string): Promise<void> {
	const {parts, channel, start} = task;
	const {attemptId, account, service, requestDigest} = start;
	const isRecorded = parts.ctx.audit.append({
		kind: 'call_started', attemptId, account, service, keyDigest, requestDigest,
	}, 'must_keep');
	if (!isRecorded) {
		parts.ledger.release(keyDigest);
		return refuseAttempt(task, 'audit_full');
	}

	// Not awaited, so that a slow reader at the entry does not delay the call.
	void accept(channel, start);
	const outcome = toJoinedOutcome(await callPlain(plain, start));
	recordOutcome(task, keyDigest, outcome);
	await sendJoinedOutcome(task, outcome, false);
}

/** Records the outcome of a call in the ledger and in the audit log. */
function recordOutcome({parts, start}: AttemptTask, keyDigest: string, outcome: JoinedOutcome): void {
	const {attemptId, requestId, account, service} = start;
	if (outcome.tag === 'not_run') {
		parts.ledger.release(keyDigest);
		parts.ctx.audit.append({
			kind: 'not_run', attemptId, requestId, reason: 'connection_refused', proof: 'never_sent',
		}, 'closes_kept');
		return;
	}

	parts.ledger.finish(keyDigest, outcome);
	parts.ctx.audit.append({
		kind: 'call_finished', attemptId, account, service, keyDigest, outcome: outcome.tag,
	}, 'closes_kept');
}

/** Waits for the running call with the same key, at most until this attempt's own deadline. */
async function joinRunning(task: AttemptTask, running: Promise<JoinedOutcome>): Promise<void> {
	const {parts, channel, start} = task;
	await accept(channel, start);
	const timer = new AbortController();
	const timeout = parts.ctx.clock.sleep(start.remainingMillis, timer.signal).then((): LedgerOutcome => unknownOutcome('deadline', ''));
	const outcome = await Promise.race([running, timeout]);
	timer.abort();
	await sendJoinedOutcome(task, outcome, true);
}

async function sendJoinedOutcome(task: AttemptTask, outcome: JoinedOutcome, isRepeated: boolean): Promise<void> {
	await match(outcome)
		.with({tag: 'not_run'}, async () => refuseAttempt(task, 'connection_refused'))
		.with({tag: 'unknown'}, async ({reason}) => reportBroken(task, reason))
		.with({tag: 'answered'}, async ({status, body}) => body
			? sendAnswer(task, {status, body}, isRepeated)
			: reportBroken(task, 'answer_not_kept'))
		.exhaustive();
}

async function sendAnswer({parts, channel, start}: AttemptTask, {status, body}: PlainAnswer, isRepeated: boolean): Promise<void> {
	parts.attempts.finish(start.attemptId, 'answered');
	const sender = createAnswerSender(start.attemptId, 0);
	for (let offset = 0; offset < body.byteLength; offset += MAX_DATA_PAYLOAD_BYTES) {
		const payload = body.subarray(offset, offset + MAX_DATA_PAYLOAD_BYTES);
		// Data frames are sent in order.
		// eslint-disable-next-line no-await-in-loop
		await channel.send({$case: 'data', data: sender.createData(payload, payload.byteLength)});
	}

	await channel.send({$case: 'end', end: sender.createEnd(status, isRepeated)});
}

async function accept(channel: EntryChannel, {attemptId}: StartAttempt): Promise<void> {
	await channel.send({$case: 'accepted', accepted: {attemptId}});
}

function createKeyDigest({account, idempotencyKey, attemptId}: StartAttempt): string {
	return idempotencyKey === '' ? digestKeyless(attemptId) : digestKey(account, idempotencyKey);
}

async function callPlain(plain: PlainService, start: StartAttempt): Promise<Result<PlainAnswer, PlainCallError>> {
	const {attemptId, idempotencyKey, body, remainingMillis} = start;
	return plain.call({
		attemptId, idempotencyKey, body, timeoutMillis: remainingMillis,
	});
}

function toJoinedOutcome(answer: Result<PlainAnswer, PlainCallError>): JoinedOutcome {
	if (answer.ok) {
		return {tag: 'answered', ...answer.value};
	}

	return match(answer.error)
		.returnType<JoinedOutcome>()
		.with({tag: 'not_sent'}, () => ({tag: 'not_run'}))
		.with({tag: 'no_answer'}, ({detail}) => unknownOutcome('backend_server_failed', detail))
		.exhaustive();
}
