import {Buffer} from 'node:buffer';

/** Counts the units (tokens or bytes) of a payload; undefined when the payload is ill-formed. */
export type CountUnits = (payload: Uint8Array) => number | undefined;

/** Tokens as a payload: a JSON array of strings in UTF-8. */
export function encodeTokens(tokens: readonly string[]): Uint8Array {
	return Buffer.from(JSON.stringify(tokens));
}

/** Tokens of a payload; undefined when it is ill-formed. */
export function decodeTokens(payload: Uint8Array): readonly string[] | undefined {
	try {
		const parsed: unknown = JSON.parse(Buffer.from(payload).toString('utf8'));
		const isTokens = Array.isArray(parsed) && parsed.every(token => typeof token === 'string');
		return isTokens ? parsed : undefined;
	} catch {
		return undefined;
	}
}

/** Units of a model's answer. */
export const countTokens: CountUnits = payload => decodeTokens(payload)?.length;

/** Units of a plain service's answer. */
export const countBytes: CountUnits = payload => payload.byteLength;
