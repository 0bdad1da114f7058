import {z} from 'zod';

const count = z.number().int().nonnegative();

const mapSchema = z.object({
	layers: z.array(z.object({slotsPerRank: count, slots: z.array(z.number().int())})),
});

/** Reply to `GET /v1/state`. */
export const engineStateSchema = z.object({
	groupIncarnation: z.string(),
	step: count,
	mapEpoch: count,
	map: mapSchema,
	hold: z.object({epoch: count, fromStep: count}).optional(),
	releasedEpochs: z.array(count),
	running: count,
	queued: count,
	ageMillis: z.number(),
	stepMillis: z.number(),
	tokensPerSecond: z.number(),
	tokensPerExpert: z.array(z.array(z.number())),
}).transform(state => ({...state, hold: state.hold}));

/** Reply to `GET /v1/cache-events`. */
export const cacheEventsSchema = z.object({
	events: z.array(z.object({sequence: count, prefixDigest: z.string(), evicted: z.boolean()})),
});

/** Body of a refusal. */
export const refusalSchema = z.object({reason: z.string()});

/** One line of a stream. */
export const streamItemSchema = z.discriminatedUnion('tag', [
	z.object({tag: z.literal('piece'), offset: count, tokens: z.array(z.string())}),
	z.object({tag: z.literal('end'), count}),
]);
