/**
 * Copies of proposals in the object store.
 *
 * A vote needs no store while the proposer or one agent of the group is running. The copy covers the case that all of
 * them fail together: then the engines hold an epoch whose members and map no process knows.
 */
import {Buffer} from 'node:buffer';
import type {ObjectStore} from '../ports/object-store.js';
import {Proposal} from '../wire/generated/vote.js';

/** Archived proposals of one group. */
export type ProposalArchive = {
	/** Writes a copy. If the store is unavailable, the vote continues without one. */
	readonly save: (proposal: Proposal) => Promise<void>;
	/** Reads the proposal of an epoch; undefined when there is no copy or the store is unavailable. */
	readonly find: (epoch: number) => Promise<Proposal | undefined>;
};

/** Creates the archive of `group`. */
export function createProposalArchive(objects: ObjectStore, group: string): ProposalArchive {
	const keyOf = (epoch: number) => `proposals/${group}/${epoch}`;

	return {
		async save(proposal) {
			await objects.create(keyOf(proposal.epoch), Proposal.encode(proposal).finish());
		},
		async find(epoch) {
			const found = await objects.read(keyOf(epoch));
			return found.ok && found.value ? decode(found.value) : undefined;
		},
	};
}

function decode(bytes: Uint8Array): Proposal | undefined {
	try {
		return Proposal.decode(Buffer.from(bytes));
	} catch {
		return undefined;
	}
}
