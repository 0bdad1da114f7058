import {sha256Hex} from '../core/digest.js';
import type {AccountName, AttemptId} from '../core/ids.js';

/** Digest that identifies an idempotency key of an account. */
export function digestKey(account: AccountName, idempotencyKey: string): string {
	return sha256Hex('key\0', account, '\0', idempotencyKey);
}

/** Digest for a call without an idempotency key. It is unique, since attempt ids are never reused. */
export function digestKeyless(attemptId: AttemptId): string {
	return sha256Hex('attempt\0', attemptId);
}
