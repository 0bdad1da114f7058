/** One attempt at one agent, from the start frame to its outcome. */
import {Buffer} from 'node:buffer';
import {match} from 'ts-pattern';
import {
	acceptFrame, openAssembly, type AnswerFrame, type Assembly,
} from '../answer/frame-assembly.js';
import type {CountUnits} from '../answer/payload-units.js';
import type {AttemptId, Incarnation} from '../core/ids.js';
import type {AgentLink} from '../ports/agent-link.js';
import type {StartAttempt} from '../wire/generated/link.js';
import type {CallRequest} from './call-request.js';
import {ADMITTED_PRIORITY} from './dispatch-constants.js';
import type {DispatchContext} from './dispatch-context.js';

/** What became of an attempt. */
export type AttemptResult
	= | Readonly<{tag: 'whole'; status: number; repeated: boolean}>
	/** The link was closed before the start frame was written. */
		| Readonly<{tag: 'never_sent'}>
	/** The agent did not start it and never will. */
		| Readonly<{tag: 'refused'; reason: string; retryAfterMillis: number}>
	/** The agent started it and has no whole answer. */
		| Readonly<{tag: 'broken'; reason: string}>
	/** The link ended after the start frame was written. */
		| Readonly<{tag: 'lost'}>
	/** The deadline passed or the caller left. */
		| Readonly<{tag: 'late'}>;

/** A piece of the answer, in order and without holes. */
export type ChunkSink = (offset: number, payload: Uint8Array) => void;

/** How one attempt differs from the others of its request. */
export type AttemptOptions = Readonly<{
	attemptId: AttemptId;
	/** First offset still needed. */
	offset: number;
	/** Agent incarnation the key is bound or claimed to; empty for none. */
	boundIncarnation: Incarnation;
	countUnits: CountUnits;
	sink: ChunkSink;
	/** Ends the attempt early when it aborts. */
	signal: AbortSignal | undefined;
}>;

/** Time left to the deadline of a request, in milliseconds; not below 0. */
export function remainingMillis(ctx: Pick<DispatchContext, 'clock'>, req: CallRequest): number {
	return Math.max(0, req.deadlineMillis - ctx.clock.monotonicMillis());
}

/** Starts the attempt on the link and follows it to its outcome. */
export async function runAttempt(
	ctx: DispatchContext,
	link: AgentLink,
	req: CallRequest,
	plan: AttemptOptions,
): Promise<AttemptResult> {
	const mailbox = link.start(createStartFrame(ctx, req, plan));
	if (!mailbox) {
		return {tag: 'never_sent'};
	}

	const tracker = ctx.policies.trackAttempt(link, req);
	const abandon = () => {
		mailbox.push({tag: 'abandoned'});
	};

	plan.signal?.addEventListener('abort', abandon, {once: true});
	let assembly = openAssembly(plan.attemptId, plan.offset, plan.countUnits);
	try {
		for (;;) {
			// Events of an attempt come one after the other.
			// eslint-disable-next-line no-await-in-loop
			const event = await mailbox.take(ctx.clock, remainingMillis(ctx, req));
			if (!event || event.tag === 'abandoned') {
				return {tag: 'late'};
			}

			if (event.tag === 'data' || event.tag === 'end') {
				const step = takeFrame(ctx, assembly, event, plan.sink);
				assembly = step.assembly;
				tracker.noteFirstToken();
				if (step.result) {
					return step.result;
				}
			} else if (event.tag !== 'accepted') {
				return toResult(event);
			}
		}
	} finally {
		plan.signal?.removeEventListener('abort', abandon);
		tracker.end();
		link.forget(plan.attemptId);
	}
}

function createStartFrame(ctx: DispatchContext, req: CallRequest, plan: AttemptOptions): StartAttempt {
	return {
		attemptId: plan.attemptId,
		requestId: req.requestId,
		account: req.account,
		workClass: req.workClass.name,
		service: req.service,
		remainingMillis: Math.floor(remainingMillis(ctx, req)),
		idempotent: req.workClass.idempotent,
		idempotencyKey: req.key?.key ?? '',
		requestDigest: req.requestDigest,
		boundIncarnation: plan.boundIncarnation,
		offset: plan.offset,
		priority: ADMITTED_PRIORITY,
		body: Buffer.from(req.body),
	};
}

type FrameStep = Readonly<{assembly: Assembly; result: AttemptResult | undefined}>;

function takeFrame(ctx: DispatchContext, before: Assembly, frame: AnswerFrame, sink: ChunkSink): FrameStep {
	const {assembly, result} = acceptFrame(before, frame);
	return match(result)
		.with({tag: 'taken'}, ({offset, payload}) => {
			sink(offset, payload);
			return {assembly, result: undefined};
		})
		.with({tag: 'dropped'}, ({reason}) => {
			ctx.metrics.droppedFrames.inc({reason});
			ctx.audit.append({kind: 'frame_dropped', attemptId: before.attemptId, reason}, 'may_drop');
			return {assembly, result: undefined};
		})
		.with({tag: 'whole'}, ({end}) => ({
			assembly, result: {tag: 'whole' as const, status: end.status, repeated: end.repeated},
		}))
		.with({tag: 'broken'}, ({reason}) => ({assembly, result: {tag: 'broken' as const, reason}}))
		.exhaustive();
}

type FinalEvent
	= | Readonly<{tag: 'refused'; reason: string; retryAfterMillis: number}>
		| Readonly<{tag: 'broken'; reason: string}>
		| Readonly<{tag: 'link_lost'}>;

function toResult(event: FinalEvent): AttemptResult {
	return event.tag === 'link_lost' ? {tag: 'lost'} : event;
}
