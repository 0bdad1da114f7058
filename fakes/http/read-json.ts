import type {Context} from 'hono';
import type {z} from 'zod';
import {fail, succeed, type Result} from '../../src/core/result.js';

/** A body that does not match its schema. */
export type BadRequest = Readonly<{tag: 'bad_request'; field: string; detail: string}>;

async function parseJson(ctx: Context): Promise<unknown> {
	try {
		return await ctx.req.json();
	} catch {
		return undefined;
	}
}

/** Reads and validates a JSON body. The error names the first invalid field. */
export async function readJson<T>(ctx: Context, schema: z.ZodType<T>): Promise<Result<T, BadRequest>> {
	const parsed = schema.safeParse(await parseJson(ctx));
	if (parsed.success) {
		return succeed(parsed.data);
	}

	const [first] = parsed.error.issues;
	return fail({tag: 'bad_request', field: first?.path.join('.') ?? '', detail: first?.message ?? ''});
}
