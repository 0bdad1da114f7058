import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {z} from 'zod';
import type {Clock} from '../../src/core/clock.js';
import {createId, type Incarnation} from '../../src/core/ids.js';
import type {Arrival, ArrivalOutcome, Joined} from '../group/step-barrier.js';

/** Delay before a call to the rank group is retried, in milliseconds. */
const RETRY_DELAY_MILLIS = 50;
/** Time after which a call without a response is retried on another connection, in milliseconds. All calls are safe to retry. */
const RESPONSE_TIMEOUT_MILLIS = 2000;
const OK_STATUS = 200;

const joinedSchema = z.object({groupIncarnation: z.string(), step: z.number()});
const incarnationSchema = z.object({groupIncarnation: z.string()});
const outcomeSchema = z.discriminatedUnion('tag', [
	z.object({tag: z.literal('ran'), stepMillis: z.number(), millisPerLoad: z.number()}),
	z.object({tag: z.literal('restarted'), groupIncarnation: z.string()}),
]);

/** Connection of an engine to its group. Each call waits until the group answers. */
export type GroupLink = {
	readonly joinGroup: () => Promise<Joined>;
	readonly arrive: (arrival: Omit<Arrival, 'rank'>) => Promise<ArrivalOutcome>;
	/** Resolves with the incarnation of the group as soon as it differs from `known`. */
	readonly nextIncarnation: (known: Incarnation) => Promise<Incarnation>;
};

/** Calls the rank group over HTTP and retries until it answers or `signal` aborts. */
export function createHttpGroupLink(baseUrl: string, rank: number, signal: AbortSignal): GroupLink {
	const engineIncarnation = createId();

	async function postUntilAnswered<T>(path: string, body: unknown, schema: z.ZodType<T>): Promise<T> {
		for (;;) {
			try {
				// eslint-disable-next-line no-await-in-loop
				const reply = await request(baseUrl + path, {
					method: 'POST',
					headers: {'content-type': 'application/json'},
					body: JSON.stringify(body),
					signal,
					headersTimeout: RESPONSE_TIMEOUT_MILLIS,
					bodyTimeout: RESPONSE_TIMEOUT_MILLIS,
				});
				// eslint-disable-next-line no-await-in-loop
				const json = await reply.body.json();
				if (reply.statusCode === OK_STATUS) {
					return schema.parse(json);
				}
			} catch {
				// A call that is aborted while it connects reports the failed connection. Any other failure is retried.
				signal.throwIfAborted();
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(RETRY_DELAY_MILLIS);
		}
	}

	return {
		joinGroup: async () => postUntilAnswered('/v1/join', {rank, engineIncarnation}, joinedSchema),
		arrive: async arrival => postUntilAnswered('/v1/arrivals', {...arrival, rank}, outcomeSchema),
		async nextIncarnation(known) {
			const next = await postUntilAnswered('/v1/next-incarnation', {groupIncarnation: known}, incarnationSchema);
			return next.groupIncarnation;
		},
	};
}

/** The link of a standalone engine: every step runs without waiting for other ranks. */
export function createStandaloneLink(stepMillis: number, clock: Clock, signal: AbortSignal): GroupLink {
	const groupIncarnation: Incarnation = createId();
	return {
		joinGroup: async () => ({groupIncarnation, step: 0}),
		async arrive({load}) {
			await clock.sleep(stepMillis, signal);
			return {tag: 'ran', stepMillis, millisPerLoad: load > 0 ? stepMillis / load : 0};
		},
		nextIncarnation: async () => new Promise(() => {
			// A standalone engine has no group that restarts.
		}),
	};
}
