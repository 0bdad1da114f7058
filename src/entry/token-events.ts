/** Server-sent events of a streamed answer. */
import {Buffer} from 'node:buffer';
import type {Clock} from '../core/clock.js';
import {createMailbox, type Mailbox} from '../core/mailbox.js';
import type {CallRequest} from '../dispatch/call-request.js';
import type {ModelOutcome} from '../dispatch/dispatch-model.js';
import type {TokenSink} from '../dispatch/answer-collectors.js';
import {createUnansweredResponse} from './unanswered-response.js';

/** Runs a request; tokens go to the sink before the outcome resolves. */
export type RunStream = (sink: TokenSink) => Promise<ModelOutcome>;

type StreamEvent
	= | Readonly<{tag: 'tokens'; offset: number; tokens: readonly string[]}>
		| Readonly<{tag: 'outcome'; outcome: ModelOutcome}>;

function encodeEvent(name: string, data: unknown): Uint8Array {
	return Buffer.from(`event: ${name}\ndata: ${JSON.stringify(data)}\n\n`);
}

function encodeOutcome(outcome: ModelOutcome): Uint8Array {
	return outcome.tag === 'whole'
		? encodeEvent('end', {count: outcome.count, digest: outcome.digest})
		: encodeEvent('cut', {outcome: outcome.tag, reason: outcome.reason});
}

/**
 * Streams `tokens` events and one last event: `end` when the answer is complete, `cut` when it is not.
 *
 * A request that ends without a token and without a complete answer gets a plain JSON response instead.
 */
export async function createTokenResponse(clock: Clock, {requestId, workClass}: CallRequest, run: RunStream): Promise<Response> {
	const events = createMailbox<StreamEvent>();
	const finished = run((offset, tokens) => {
		events.push({tag: 'tokens', offset, tokens});
	}).then(outcome => {
		events.push({tag: 'outcome', outcome});
	});
	const first = await takeEvent(clock, events, workClass.deadlineMillis);
	if (first.tag === 'outcome' && first.outcome.tag !== 'whole') {
		await finished;
		return createUnansweredResponse(first.outcome, requestId);
	}

	let unsent: StreamEvent | undefined = first;
	const body = new ReadableStream<Uint8Array>({
		async pull(controller) {
			const event = unsent ?? await takeEvent(clock, events, workClass.deadlineMillis);
			unsent = undefined;
			if (event.tag === 'tokens') {
				controller.enqueue(encodeEvent('tokens', {offset: event.offset, tokens: event.tokens}));
				return;
			}

			controller.enqueue(encodeOutcome(event.outcome));
			controller.close();
		},
	});
	return new Response(body, {headers: {'Content-Type': 'text/event-stream', 'Cache-Control': 'no-store', 'Pollenport-Request': requestId}});
}

/** Waits for the next event. The run always ends with an event, so the wait is repeated after each timeout. */
async function takeEvent(clock: Clock, events: Mailbox<StreamEvent>, millis: number): Promise<StreamEvent> {
	for (;;) {
		// eslint-disable-next-line no-await-in-loop
		const event = await events.take(clock, millis);
		if (event) {
			return event;
		}
	}
}
