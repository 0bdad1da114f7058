/** Document in which an entry reports what it believes of the others. */
import {z} from 'zod';
import type {EntryBelief} from './entry-members.js';

/** Path of the document on the metrics listener. */
export const MEMBERS_PATH = '/members';

/** Schema of the document. */
export const membersDocumentSchema = z.object({
	members: z.array(z.object({
		id: z.string(),
		callerAddress: z.string(),
		failureDomain: z.string(),
		state: z.enum(['unverified', 'starting', 'ready', 'suspect', 'dead', 'left', 'leaving']),
		generation: z.number(),
		incarnation: z.number(),
		/** Time since the entry became suspected, in milliseconds. */
		suspectedMillis: z.number().optional(),
	})),
	/** Evacuated failure domains, with the entry's requests in flight there; an entry of an earlier version does not list them. */
	evacuated: z.array(z.object({failureDomain: z.string(), inFlight: z.number()})).default([]),
});

/** Contents of the document. */
export type MembersDocument = Readonly<z.infer<typeof membersDocumentSchema>>;

/** Creates the document. */
export function describeMembers(beliefs: readonly EntryBelief[], evacuated: MembersDocument['evacuated']): MembersDocument {
	return {members: [...beliefs], evacuated};
}
