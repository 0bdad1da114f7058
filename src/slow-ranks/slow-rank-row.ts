/** Rows in which the planner of each rank group tells the entries which ranks are slow. */
import {z} from 'zod';

/** Table with one row per group that has had slow ranks. */
export const SLOW_RANK_TABLE = 'slow_ranks';
/** Interval after which the row is written again while a rank is slow, in milliseconds. */
export const SLOW_RANK_RENEWAL_MILLIS = 4000;
/** Time after which a row that has not been written again no longer counts, in milliseconds; the planner may have stopped. */
export const SLOW_RANK_TTL_MILLIS = 10_000;

const rowSchema = z.object({
	/** Epoch of the group; in another one the ranks may be other engines. */
	epoch: z.number().int(),
	ranks: z.array(z.number().int().nonnegative()),
});

/** Slow ranks of a group in one epoch. */
export type SlowRanks = Readonly<z.infer<typeof rowSchema>>;

/** Parses the text of a row; undefined if it is not one. */
export function parseSlowRanks(text: string): SlowRanks | undefined {
	try {
		return rowSchema.safeParse(JSON.parse(text)).data;
	} catch {
		return undefined;
	}
}
