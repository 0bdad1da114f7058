import {request} from 'undici';
import type {z} from 'zod';

/** Reads what the stand-in at `baseUrl` recorded. Rejects when it does not fit `schema`. */
export async function readRecords<T>(baseUrl: string, schema: z.ZodType<T>): Promise<T> {
	const reply = await request(`${baseUrl}/control/records`);
	return schema.parse(await reply.body.json());
}
