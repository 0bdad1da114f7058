/** Calls the plain service; a call that must not be repeated goes through the ledger. */
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

/** Runs a call to its end, whatever becomes of the entry that asked for it. */
export async function runPlainAttempt(task: AttemptTask, plain: PlainService): Promise<void> {
	return task.start.idempotent
		? runRepeatable(task, plain)
		: runOnce(task, plain);
}

async function runRepeatable(task: AttemptTask, plain: PlainService): Promise<void> {
	await accept(task.channel, task.start);
	const answer = await callPlain(plain, task.start);
	await sendJoinedEnd(task, toJoinedEnd(answer), false);
}

/** Lets the ledger decide whether the call runs. */
async function runOnce(task: AttemptTask, plain: PlainService): Promise<void> {
	const {parts, start} = task;
	if (!parts.ctx.audit.hasRoom()) {
		return refuseAttempt(task, 'audit_full');
	}

	const keyDigest = digestOf(start);
	const {account, requestDigest, attemptId, boundIncarnation} = start;
	const decision = parts.ledger.begin({
		account, keyDigest, requestDigest, attemptId, boundIncarnation,
	});
	await match(decision)
		.with({tag: 'run'}, async () => runFirst(task, plain, keyDigest))
		.with({tag: 'join'}, async ({end}) => joinRunning(task, end))
		.with({tag: 'ended'}, async ({end}) => sendJoinedEnd(task, end, true))
		.with({tag: 'refused'}, async ({reason}) => refuseAttempt(task, reason))
		.exhaustive();
}

async function runFirst(task: AttemptTask, plain: PlainService, keyDigest: string): Promise<void> {
	const {parts, channel, start} = task;
	const {attemptId, account, service, requestDigest} = start;
	const isRecorded = parts.ctx.audit.append({
		kind: 'call_started', attemptId, account, service, keyDigest, requestDigest,
	}, 'must_keep');
	if (!isRecorded) {
		parts.ledger.release(keyDigest);
		return refuseAttempt(task, 'audit_full');
	}

	// The frame is not waited for: the call must not depend on how fast the entry reads.
	void accept(channel, start);
	const end = toJoinedEnd(await callPlain(plain, start));
	closeEntry(task, keyDigest, end);
	await sendJoinedEnd(task, end, false);
}

/** Records the end of a call in the ledger and for the auditor. */
function closeEntry({parts, start}: AttemptTask, keyDigest: string, end: JoinedOutcome): void {
	const {attemptId, requestId, account, service} = start;
	if (end.tag === 'not_run') {
		parts.ledger.release(keyDigest);
		parts.ctx.audit.append({
			kind: 'not_run', attemptId, requestId, reason: 'connection_refused', proof: 'never_sent',
		}, 'closes_kept');
		return;
	}

	parts.ledger.finish(keyDigest, end);
	parts.ctx.audit.append({
		kind: 'call_finished', attemptId, account, service, keyDigest, outcome: end.tag,
	}, 'closes_kept');
}

/** Waits for the key's running call, but not beyond this attempt's own deadline. */
async function joinRunning(task: AttemptTask, running: Promise<JoinedOutcome>): Promise<void> {
	const {parts, channel, start} = task;
	await accept(channel, start);
	const wait = new AbortController();
	const late = parts.ctx.clock.sleep(start.remainingMillis, wait.signal).then((): LedgerOutcome => unknownOutcome('deadline', ''));
	const end = await Promise.race([running, late]);
	wait.abort();
	await sendJoinedEnd(task, end, true);
}

async function sendJoinedEnd(task: AttemptTask, end: JoinedOutcome, isRepeated: boolean): Promise<void> {
	await match(end)
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
	for (let at = 0; at < body.byteLength; at += MAX_DATA_PAYLOAD_BYTES) {
		const piece = body.subarray(at, at + MAX_DATA_PAYLOAD_BYTES);
		// Pieces go out in order.
		// eslint-disable-next-line no-await-in-loop
		await channel.send({$case: 'data', data: sender.createData(piece, piece.byteLength)});
	}

	await channel.send({$case: 'end', end: sender.createEnd(status, isRepeated)});
}

async function accept(channel: EntryChannel, {attemptId}: StartAttempt): Promise<void> {
	await channel.send({$case: 'accepted', accepted: {attemptId}});
}

function digestOf({account, idempotencyKey, attemptId}: StartAttempt): string {
	return idempotencyKey === '' ? digestKeyless(attemptId) : digestKey(account, idempotencyKey);
}

async function callPlain(plain: PlainService, start: StartAttempt): Promise<Result<PlainAnswer, PlainCallError>> {
	const {attemptId, idempotencyKey, body, remainingMillis} = start;
	return plain.call({
		attemptId, idempotencyKey, body, timeoutMillis: remainingMillis,
	});
}

function toJoinedEnd(answer: Result<PlainAnswer, PlainCallError>): JoinedOutcome {
	if (answer.ok) {
		return {tag: 'answered', ...answer.value};
	}

	return match(answer.error)
		.returnType<JoinedOutcome>()
		.with({tag: 'not_sent'}, () => ({tag: 'not_run'}))
		.with({tag: 'no_answer'}, ({detail}) => unknownOutcome('backend_server_failed', detail))
		.exhaustive();
}
