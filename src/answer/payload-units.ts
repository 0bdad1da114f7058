import {Buffer} from 'node:buffer';

/** Counts the units (tokens or bytes) of a payload; undefined when the payload is malformed. */
export type CountUnits = (payload: Uint8Array) => number | undefined;

/** Encodes tokens as a payload: a JSON array of strings in UTF-8. */
export function encodeTokens(tokens: readonly string[]): Uint8Array {
	return Buffer.from(JSON.stringify(tokens));
}

/** Decodes the tokens of a payload; undefined when it is malformed. */
export function decodeTokens(payload: Uint8Array): readonly string[] | undefined {
	try {
		const parsed: unknown = JSON.parse(Buffer.from(payload).toString('utf8'));
		const isTokenList = Array.isArray(parsed) && parsed.every(token => typeof token === 'string');
		return isTokenList ? parsed : undefined;
	} catch {
		return undefined;
	}
}

/** Counts the units of a model's answer, which are tokens. */
export const countTokens: CountUnits = payload => decodeTokens(payload)?.length;

/** Counts the units of a plain service's answer, which are bytes. */
export const countBytes: CountUnits = payload => payload.byteLength;
