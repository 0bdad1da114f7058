import {type z} from 'zod';

/** Input that the user of the experiment tool must mend. */
export class BadInputError extends Error {
	override readonly name = 'BadInputError';
}

/** Reads options by `schema`; throws a {@link BadInputError} of one line that names the option. */
export function readOptions<T>(schema: z.ZodType<T>, options: unknown): T {
	const parsed = schema.safeParse(options);
	if (parsed.success) {
		return parsed.data;
	}

	const first = parsed.error.issues[0];
	throw new BadInputError(`option --${first?.path.join('.') ?? ''}: ${first?.message ?? 'invalid'}`);
}
