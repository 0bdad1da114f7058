import {match, P} from 'ts-pattern';
import {
	unknownOutcome, type Outcome, type UnknownReason,
} from '../core/outcome.js';
import type {AttemptId} from '../core/ids.js';
import {digestKey} from '../ledger/key-digest.js';
import type {CallRequest} from './call-request.js';
import type {DispatchContext} from './dispatch-context.js';

/** Why a request is known not to have run. */
export type NotRunProof = 'never_sent' | 'refused' | 'tombstone';

/** Outcome of a request with what it rests on. */
export type SettledOutcome = Readonly<{
	outcome: Outcome;
	/** The last attempt; empty when there was none. */
	attemptId: AttemptId;
	/** Set when the outcome is `not_run`. */
	proof: NotRunProof | undefined;
}>;

/** The request has an answer. */
export function settleAnswered(attemptId: AttemptId, status: number, body: Uint8Array, repeated: boolean): SettledOutcome {
	return {
		attemptId,
		proof: undefined,
		outcome: {
			tag: 'answered', status, body, repeated,
		},
	};
}

/** The request did not run, and `proof` says why that is known. */
export function settleNotRun(proof: NotRunProof, attemptId: AttemptId, refusal: Extract<Outcome, {tag: 'not_run'}>): SettledOutcome {
	return {attemptId, proof, outcome: refusal};
}

/** Nobody can say whether the request ran. */
export function settleUnknown(attemptId: AttemptId, reason: UnknownReason, detail: string): SettledOutcome {
	return {attemptId, proof: undefined, outcome: unknownOutcome(reason, detail)};
}

/** Counts and records what the caller is about to be told. */
export function recordOutcome(ctx: DispatchContext, req: CallRequest, settled: SettledOutcome): Outcome {
	const {outcome, attemptId, proof} = settled;
	ctx.statistics.countOutcome(req.workClass.name, outcome.tag);
	ctx.metrics.requests.inc({work_class: req.workClass.name, outcome: outcome.tag});
	match(outcome)
		.with({tag: 'not_run'}, ({reason}) => {
			ctx.metrics.refusals.inc({reason});
			ctx.audit.append({
				kind: 'not_run', attemptId, requestId: req.requestId, reason, proof: proof ?? 'never_sent',
			}, importanceOf(req));
		})
		.with({tag: 'unknown'}, ({reason}) => {
			ctx.metrics.unknowns.inc({reason});
		})
		.with({tag: 'answered'}, () => undefined)
		.exhaustive();

	if (req.key) {
		ctx.audit.append({
			kind: 'caller_told',
			requestId: req.requestId,
			attemptId,
			account: req.account,
			service: req.service,
			keyDigest: digestKey(req.account, req.key.key),
			outcome: outcome.tag,
			reason: match(outcome).with({reason: P.string}, ({reason}) => reason).otherwise(() => ''),
		}, 'must_keep');
	}

	return outcome;
}

/** Counts the first token or byte of an answer, which came `millis` after the request was taken in. */
export function recordFirstByte(ctx: DispatchContext, req: CallRequest, millis: number): void {
	ctx.metrics.firstByteSeconds.observe({work_class: req.workClass.name}, millis / 1000);
	ctx.statistics.countFirstByte(req.workClass.name, millis > req.workClass.lateAfterMillis);
}

function importanceOf(req: CallRequest): 'must_keep' | 'may_drop' {
	return req.workClass.idempotent ? 'may_drop' : 'must_keep';
}
