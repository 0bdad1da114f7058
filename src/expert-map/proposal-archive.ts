/**
 * Copies of proposals in the object store.
 *
 * A vote needs no store while one agent of the group or the proposer lives. The copy is for the case that all of them
 * die at once: then the engines hold an epoch that nobody knows the members and the map of.
 */
import {Buffer} from 'node:buffer';
import type {ObjectStore} from '../ports/object-store.js';
import {Proposal} from '../wire/generated/vote.js';

/** The copies of one group. */
export type ProposalArchive = {
	/** Writes a copy. A store that is away changes nothing: the vote goes on without one. */
	readonly save: (proposal: Proposal) => Promise<void>;
	/** The proposal of an epoch; undefined when there is no copy or the store is away. */
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
