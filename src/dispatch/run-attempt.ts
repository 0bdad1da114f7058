/** Runs one attempt at one agent, from the start frame to its outcome. */
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

/** How an attempt ended. */
export type AttemptResult
	= | Readonly<{tag: 'whole'; status: number; repeated: boolean}>
		/** The link was closed before the start frame was written. */
		| Readonly<{tag: 'never_sent'}>
		/** The agent has not started the attempt and never will. */
		| Readonly<{tag: 'refused'; reason: string; retryAfterMillis: number}>
		/** The agent started the attempt but the answer is incomplete. */
		| Readonly<{tag: 'broken'; reason: string}>
		/** The link was lost after the start frame was written. */
		| Readonly<{tag: 'lost'}>
		/** The deadline passed or the caller disconnected. */
		| Readonly<{tag: 'late'}>;

/** Receives the chunks of the answer, in order and without gaps. */
export type ChunkSink = (offset: number, payload: Uint8Array) => void;

/** What differs between the attempts of a request. */
export type AttemptOptions = Readonly<{
	attemptId: AttemptId;
	/** First offset of the answer that is still missing. */
	offset: number;
	/** Agent incarnation that the key is bound to or claimed for; empty for none. */
	boundIncarnation: Incarnation;
	countUnits: CountUnits;
	sink: ChunkSink;
	/** Ends the attempt early when it aborts. */
	signal: AbortSignal | undefined;
}>;

/** Time left until the deadline of a request, in milliseconds; never negative. */
export function remainingMillis(ctx: Pick<DispatchContext, 'clock'>, req: CallRequest): number {
	return Math.max(0, req.deadlineMillis - ctx.clock.monotonicMillis());
}

/** Starts the attempt on the link and waits for its outcome. */
export async function runAttempt(
	ctx: DispatchContext,
	link: AgentLink,
	req: CallRequest,
	options: AttemptOptions,
): Promise<AttemptResult> {
	const mailbox = link.start(createStartFrame(ctx, req, options));
	if (!mailbox) {
		return {tag: 'never_sent'};
	}

	const tracker = ctx.policies.trackAttempt(link, req);
	const abandon = () => {
		mailbox.push({tag: 'abandoned'});
	};

	options.signal?.addEventListener('abort', abandon, {once: true});
	let assembly = openAssembly(options.attemptId, options.offset, options.countUnits);
	try {
		for (;;) {
			// The events of an attempt are handled in order.
			// eslint-disable-next-line no-await-in-loop
			const event = await mailbox.take(ctx.clock, remainingMillis(ctx, req));
			if (!event || event.tag === 'abandoned') {
				return {tag: 'late'};
			}

			if (event.tag === 'data' || event.tag === 'end') {
				const step = handleFrame(ctx, assembly, event, options.sink);
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
		options.signal?.removeEventListener('abort', abandon);
		tracker.end();
		link.forget(options.attemptId);
	}
}

function createStartFrame(ctx: DispatchContext, req: CallRequest, options: AttemptOptions): StartAttempt {
	return {
		attemptId: options.attemptId,
		requestId: req.requestId,
		account: req.account,
		workClass: req.workClass.name,
		service: req.service,
		remainingMillis: Math.floor(remainingMillis(ctx, req)),
		idempotent: req.workClass.idempotent,
		idempotencyKey: req.key?.key ?? '',
		requestDigest: req.requestDigest,
		boundIncarnation: options.boundIncarnation,
		offset: options.offset,
		priority: ADMITTED_PRIORITY,
		body: Buffer.from(req.body),
	};
}

type FrameStep = Readonly<{assembly: Assembly; result: AttemptResult | undefined}>;

function handleFrame(ctx: DispatchContext, before: Assembly, frame: AnswerFrame, sink: ChunkSink): FrameStep {
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
