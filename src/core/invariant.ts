/**
 * A violated invariant, which means a bug. The process ends when it is not caught.
 *
 * Expected failures are values instead (see `result.ts`).
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
