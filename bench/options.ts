import {type z} from 'zod';

/** Invalid input that the user of the experiment tool must correct. */
export class BadInputError extends Error {
	override readonly name = 'BadInputError';
}

/** Parses options with `schema`; throws a {@link BadInputError} with a one-line message that names the option. */
export function readOptions<T>(schema: z.ZodType<T>, options: unknown): T {
	const parsed = schema.safeParse(options);
	if (parsed.success) {
		return parsed.data;
	}

	const first = parsed.error.issues[0];
	throw new BadInputError(`option --${first?.path.join('.') ?? ''}: ${first?.message ?? 'invalid'}`);
}
