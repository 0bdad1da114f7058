import {Buffer} from 'node:buffer';
import {timingSafeEqual} from 'node:crypto';
import {sha256Hex} from '../core/digest.js';

/** Compares two secrets without leaking through timing where they differ. */
export function isSameSecret(left: string, right: string): boolean {
	return timingSafeEqual(Buffer.from(sha256Hex(left)), Buffer.from(sha256Hex(right)));
}
