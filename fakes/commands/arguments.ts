import {fail, succeed, type Result} from '../../src/core/result.js';

/** The argument that every stand-in takes. */
export const listenArgument = {
	type: 'string', required: true, valueHint: 'IP:PORT', description: 'Address to listen on',
} as const;

/** An invalid argument. */
export type ArgumentError = Readonly<{name: string; detail: string}>;

function isNonNegativeNumber(text: string): boolean {
	return text.trim() !== '' && Number.isFinite(Number(text)) && Number(text) >= 0;
}

/** Returns the value of a validated numeric argument. */
export type NumberArgumentReader<N extends string> = (name: N) => number;

/** Reads the arguments `names` as numbers of at least 0. The error names the first invalid one. */
export function readNumbers<N extends string>(
	args: Readonly<Record<N, string>>,
	names: readonly N[],
): Result<NumberArgumentReader<N>, ArgumentError> {
	const invalidName = names.find(name => !isNonNegativeNumber(args[name]));
	if (invalidName !== undefined) {
		return fail({name: invalidName, detail: `must be a number of at least 0, not ${JSON.stringify(args[invalidName])}`});
	}

	return succeed(name => Number(args[name]));
}
