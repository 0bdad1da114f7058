import {fail, succeed, type Result} from '../../src/core/result.js';

/** The argument every stand-in takes. */
export const listenArgument = {
	type: 'string', required: true, valueHint: 'IP:PORT', description: 'Address to listen on',
} as const;

/** An argument that does not fit. */
export type ArgumentError = Readonly<{name: string; detail: string}>;

function isNumber(text: string): boolean {
	return text.trim() !== '' && Number.isFinite(Number(text)) && Number(text) >= 0;
}

/** Gives the value of a numeric argument that was read. */
export type NumberArguments<N extends string> = (name: N) => number;

/** Reads those of `args` that are numbers of at least 0; the error names the first that is not. */
export function readNumbers<N extends string>(
	args: Readonly<Record<N, string>>,
	names: readonly N[],
): Result<NumberArguments<N>, ArgumentError> {
	const wrong = names.find(name => !isNumber(args[name]));
	if (wrong !== undefined) {
		return fail({name: wrong, detail: `must be a number of at least 0, not ${JSON.stringify(args[wrong])}`});
	}

	return succeed(name => Number(args[name]));
}
