import {createHash} from 'node:crypto';
import type {Call} from './call.js';

/** Hex digits of a fingerprint; two of thousands of requests have the same one with a probability below 1 in 10 billion. */
const FINGERPRINT_DIGITS = 16;

/** Hash of what is the same each time a caller sends a request: account, host, path with query, and body. */
export function createFingerprint({host, path, body}: Pick<Call, 'host' | 'path' | 'body'>, account: string): string {
	return createHash('sha256').update(JSON.stringify([account, host, path])).update(body).digest('hex').slice(0, FINGERPRINT_DIGITS);
}
