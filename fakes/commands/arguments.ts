import {fail, succeed, type Result} from '../../src/core/result.js';

/** The argument every stand-in takes. */
export const listenArgument = {
	type: 'string', required: true, valueHint: 'IP:PORT', description: 'Address to listen on',
} as const;

/** An argument that does not fit. */
export type ArgumentError = Readonly<{name: string; detail: string}>;

/** Reads those of `args` that are numbers of at least 0; the error names the first that is not. */
export function readNumbers<N extends string>(
	args: Readonly<Record<N, string>>,
	names: readonly N[],
): Result<Readonly<Record<N, number>>, ArgumentError> {
	const numbers: Partial<Record<N, number>> = {};
	for (const name of names) {
		const value = Number(args[name]);
		if (args[name].trim() === '' || !Number.isFinite(value) || value < 0) {
			return fail({name, detail: `must be a number of at least 0, not ${JSON.stringify(args[name])}`});
		}

		numbers[name] = value;
	}

	return succeed(numbers as Record<N, number>);
}
