import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {z} from 'zod';
import type {Clock} from '../../src/core/clock.js';
import {createId, type Incarnation} from '../../src/core/ids.js';
import type {Arrival, ArrivalOutcome, Joined} from '../group/fabric.js';

/** Time until a call to the rank group is repeated, in milliseconds. */
const RETRY_MILLIS = 50;
/** Time until a call without an answer is repeated on another connection, in milliseconds; every call may be repeated. */
const ANSWER_TIMEOUT_MILLIS = 2000;
const OK_STATUS = 200;

const joinedSchema = z.object({groupIncarnation: z.string(), step: z.number()});
const incarnationSchema = z.object({groupIncarnation: z.string()});
const outcomeSchema = z.discriminatedUnion('tag', [
	z.object({tag: z.literal('ran'), stepMillis: z.number(), millisPerLoad: z.number()}),
	z.object({tag: z.literal('restarted'), groupIncarnation: z.string()}),
]);

/** The way of an engine to its group. Each call waits until the group answers. */
export type GroupLink = {
	readonly joinGroup: () => Promise<Joined>;
	readonly arrive: (arrival: Omit<Arrival, 'rank'>) => Promise<ArrivalOutcome>;
	/** The incarnation of the group as soon as it is another than `known`. */
	readonly nextIncarnation: (known: Incarnation) => Promise<Incarnation>;
};

/** Calls the rank group over HTTP, again and again until it answers or `signal` aborts. */
export function createHttpGroupLink(baseUrl: string, rank: number, signal: AbortSignal): GroupLink {
	const engineIncarnation = createId();

	async function post<T>(path: string, body: unknown, schema: z.ZodType<T>): Promise<T> {
		for (;;) {
			try {
				// eslint-disable-next-line no-await-in-loop
				const reply = await request(baseUrl + path, {
					method: 'POST',
					headers: {'content-type': 'application/json'},
					body: JSON.stringify(body),
					signal,
					headersTimeout: ANSWER_TIMEOUT_MILLIS,
					bodyTimeout: ANSWER_TIMEOUT_MILLIS,
				});
				// eslint-disable-next-line no-await-in-loop
				const json = await reply.body.json();
				if (reply.statusCode === OK_STATUS) {
					return schema.parse(json);
				}
			} catch (error) {
				if (signal.aborted) {
					throw error;
				}
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(RETRY_MILLIS);
		}
	}

	return {
		joinGroup: async () => post('/v1/join', {rank, engineIncarnation}, joinedSchema),
		arrive: async arrival => post('/v1/arrivals', {...arrival, rank}, outcomeSchema),
		async nextIncarnation(known) {
			const next = await post('/v1/next-incarnation', {groupIncarnation: known}, incarnationSchema);
			return next.groupIncarnation;
		},
	};
}

/** The link of an engine that is in no group: every step runs at once. */
export function createStandaloneLink(stepMillis: number, clock: Clock, signal: AbortSignal): GroupLink {
	const groupIncarnation: Incarnation = createId();
	return {
		joinGroup: async () => ({groupIncarnation, step: 0}),
		async arrive({load}) {
			await clock.sleep(stepMillis, signal);
			return {tag: 'ran', stepMillis, millisPerLoad: load > 0 ? stepMillis / load : 0};
		},
		nextIncarnation: async () => new Promise(() => {
			// It never restarts.
		}),
	};
}
