import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {fail, succeed, type Result} from '../core/result.js';
import type {ObjectError, ObjectStore} from '../ports/object-store.js';
import {AUDIT_PREFIX} from './audit-batch.js';
import {checkChain} from './chain-check.js';
import {checkPromises} from './promise-check.js';
import type {AuditEvent, AuditRecord} from './audit-record.js';
import type {AuditReport, ChainFault, PromiseFinding} from './audit-report.js';

/** Objects read concurrently; bounded because the store serves a limited rate. */
const READ_CONCURRENCY = 16;

const recordSchema = z.object({
	instanceId: z.string(),
	incarnation: z.string(),
	sequence: z.number().int().positive(),
	at: z.string(),
	event: z.custom<AuditEvent>(value => typeof value === 'object' && value !== null && 'kind' in value),
	previousHash: z.string(),
	hash: z.string(),
});

/** Stored records of one chain, and the faults found while decoding them. */
export type StoredChain = Readonly<{
	/** `instance/incarnation`. */
	chain: string;
	records: readonly AuditRecord[];
	faults: readonly ChainFault[];
}>;

function parseChainName(key: string): string {
	return key.slice(AUDIT_PREFIX.length).split('/').slice(0, 2).join('/');
}

function decodeLine(line: string): AuditRecord | undefined {
	try {
		const parsed = recordSchema.safeParse(JSON.parse(line));
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}

function decodeObject(key: string, bytes: Uint8Array | undefined): StoredChain {
	const chain = parseChainName(key);
	const lines = bytes === undefined ? [] : Buffer.from(bytes).toString('utf8').split('\n').filter(line => line !== '');
	const records: AuditRecord[] = [];
	const faults: ChainFault[] = [];
	for (const line of lines) {
		const record = decodeLine(line);
		if (record && `${record.instanceId}/${record.incarnation}` === chain) {
			records.push(record);
			continue;
		}

		faults.push({
			chain, sequence: 0, kind: 'unreadable', detail: `a line of ${key} is not a record of this chain`,
		});
	}

	return {chain, records, faults};
}

/** Reads all chains from the store, each in the order in which it was written. */
export async function readChains(objects: ObjectStore): Promise<Result<readonly StoredChain[], ObjectError>> {
	const keys = await objects.list(AUDIT_PREFIX);
	if (!keys.ok) {
		return keys;
	}

	const chains = new Map<string, StoredChain>();
	for (let i = 0; i < keys.value.length; i += READ_CONCURRENCY) {
		const batchKeys = keys.value.slice(i, i + READ_CONCURRENCY);
		// Batches are read one after the other to bound the concurrency.
		// eslint-disable-next-line no-await-in-loop
		const bodies = await Promise.all(batchKeys.map(async key => objects.read(key)));
		for (const [j, body] of bodies.entries()) {
			if (!body.ok) {
				return fail(body.error);
			}

			const decoded = decodeObject(batchKeys[j] ?? '', body.value);
			const earlier = chains.get(decoded.chain);
			chains.set(decoded.chain, earlier
				? {chain: decoded.chain, records: [...earlier.records, ...decoded.records], faults: [...earlier.faults, ...decoded.faults]}
				: decoded);
		}
	}

	return succeed([...chains.values()]);
}

function countDropped(records: readonly AuditRecord[]): number {
	let dropped = 0;
	for (const {event} of records) {
		dropped += event.kind === 'gap' ? event.dropped : 0;
	}

	return dropped;
}

/** Turns `held` into `not_shown`: with records missing or not trustworthy, a promise without a breach is not proven. */
function downgradeHeldFindings(findings: readonly PromiseFinding[], reason: string): readonly PromiseFinding[] {
	return findings.map(finding => finding.verdict === 'held' ? {...finding, verdict: 'not_shown', detail: reason} : finding);
}

/** Verifies the chains and checks the promises against their records. */
export function verifyChains(chains: readonly StoredChain[]): AuditReport {
	const records = chains.flatMap(chain => chain.records);
	const faults = chains.flatMap(chain => [...chain.faults, ...checkChain(chain.chain, chain.records)]);
	const dropped = countDropped(records);
	const findings = checkPromises(records);
	const reason = faults.length > 0 ? 'the record has faults' : 'records were dropped';
	return {
		chains: chains.length,
		records: records.length,
		dropped,
		faults,
		promises: faults.length > 0 || dropped > 0 ? downgradeHeldFindings(findings, reason) : findings,
	};
}

/** Reads all chains from the store and verifies them. */
export async function verifyAudit(objects: ObjectStore): Promise<Result<AuditReport, ObjectError>> {
	const chains = await readChains(objects);
	return chains.ok ? succeed(verifyChains(chains.value)) : chains;
}
