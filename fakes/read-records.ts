import {request} from 'undici';
import type {z} from 'zod';

/** Reads the records of the stand-in at `baseUrl`. Rejects if they do not match `schema`. */
export async function readRecords<T>(baseUrl: string, schema: z.ZodType<T>): Promise<T> {
	const reply = await request(`${baseUrl}/control/records`);
	return schema.parse(await reply.body.json());
}
