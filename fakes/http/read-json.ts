import type {Context} from 'hono';
import type {z} from 'zod';
import {fail, succeed, type Result} from '../../src/core/result.js';

/** A body that does not fit. */
export type BadRequest = Readonly<{tag: 'bad_request'; field: string; detail: string}>;

async function parseJson(ctx: Context): Promise<unknown> {
	try {
		return await ctx.req.json();
	} catch {
		return undefined;
	}
}

/** Reads a JSON body and checks it; the error names the first field that does not fit. */
export async function readJson<T>(ctx: Context, schema: z.ZodType<T>): Promise<Result<T, BadRequest>> {
	const parsed = schema.safeParse(await parseJson(ctx));
	if (parsed.success) {
		return succeed(parsed.data);
	}

	const [first] = parsed.error.issues;
	return fail({tag: 'bad_request', field: first?.path.join('.') ?? '', detail: first?.message ?? ''});
}
