/**
 * Stops the process when a condition holds that the code rules out.
 *
 * Expected failures are values (see `result.ts`); an invariant is for what cannot happen.
 */
export class InvariantError extends Error {
	override readonly name = 'InvariantError';
}

/** Throws an {@link InvariantError} unless `cond` holds. */
export function invariant(cond: unknown, message: string): asserts cond {
	if (!cond) {
		throw new InvariantError(message);
	}
}
