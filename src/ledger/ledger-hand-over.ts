/** Hands over a ledger through the object store when its agent shuts down as planned. */
import {Buffer} from 'node:buffer';
import {match} from 'ts-pattern';
import {z} from 'zod';
import type {AccountName, Incarnation, InstanceId} from '../core/ids.js';
import {fail, succeed, type Result} from '../core/result.js';
import type {ObjectError, ObjectStore} from '../ports/object-store.js';
import type {LedgerEntry} from './ledger-types.js';

const handedOverSchema = z.strictObject({
	entries: z.array(z.strictObject({
		account: z.string(),
		keyDigest: z.string(),
		requestDigest: z.string(),
		state: z.enum(['answered', 'unknown']),
		status: z.number().int(),
		/** Base64; null when the body had been dropped. */
		body: z.string().nullable(),
	})),
});

/** A key in the ledger that a former incarnation handed over. */
export type HandedOverEntry = Readonly<{
	account: AccountName;
	/** See `digestKey`. */
	keyDigest: string;
	requestDigest: string;
	state: 'answered' | 'unknown';
	/** Status of the answer; 0 when the outcome is unknown. */
	status: number;
	/** Undefined when there is no answer, or when its body had been dropped. */
	body: Uint8Array | undefined;
}>;

/** Why a ledger could not be read. */
export type HandOverError
	/** The incarnation handed over no ledger: it did not stop as planned, or has not stopped yet. */
	= | Readonly<{tag: 'not_handed_over'}>
		| Readonly<{tag: 'ill_formed'; detail: string}>
		| ObjectError;

/** Key of the object that holds the ledger of an agent incarnation. */
export function createLedgerObjectKey(agentId: InstanceId, incarnation: Incarnation): string {
	return `ledgers/${agentId}/${incarnation}`;
}

/** Writes the ledger of a stopping agent to the object store. A call that is still running is handed over as `unknown`. */
export async function handOverLedger(
	objects: ObjectStore,
	agentId: InstanceId,
	incarnation: Incarnation,
	entries: readonly LedgerEntry[],
): Promise<Result<void, ObjectError>> {
	const document = JSON.stringify({entries: entries.map(entry => encodeEntry(entry))});
	const key = createLedgerObjectKey(agentId, incarnation);
	const created = await objects.create(key, Buffer.from(document));
	// Only this incarnation writes this key, so an existing object is its own, from an earlier write whose reply was lost.
	return !created.ok && created.error.tag === 'exists' ? succeed(undefined) : created;
}

/** Reads the ledger that an agent incarnation handed over. */
export async function readHandedOverLedger(
	objects: ObjectStore,
	agentId: InstanceId,
	incarnation: Incarnation,
): Promise<Result<readonly HandedOverEntry[], HandOverError>> {
	const read = await objects.read(createLedgerObjectKey(agentId, incarnation));
	if (!read.ok) {
		return read;
	}

	return read.value ? parseLedger(read.value) : fail({tag: 'not_handed_over'});
}

function encodeEntry({account, keyDigest, requestDigest, state}: LedgerEntry): z.input<typeof handedOverSchema>['entries'][number] {
	const shared = {account, keyDigest, requestDigest};
	return match(state)
		.with({tag: 'answered'}, ({status, body}) => ({
			...shared, state: 'answered' as const, status, body: body ? Buffer.from(body).toString('base64') : null,
		}))
		.otherwise(() => ({
			...shared, state: 'unknown' as const, status: 0, body: null,
		}));
}

function parseLedger(bytes: Uint8Array): Result<readonly HandedOverEntry[], HandOverError> {
	try {
		const {entries} = handedOverSchema.parse(JSON.parse(Buffer.from(bytes).toString('utf8')));
		return succeed(entries.map(entry => ({
			...entry, body: entry.body === null ? undefined : Buffer.from(entry.body, 'base64'),
		})));
	} catch (error) {
		return fail({tag: 'ill_formed', detail: String(error)});
	}
}
