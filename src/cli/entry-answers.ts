import {z} from 'zod';

/** Answer to an accepted change. */
export const acceptedSchema = z.object({
	outcome: z.literal('accepted'),
	version: z.number(),
	confirmed: z.array(z.string()),
	missing: z.array(z.string()),
});

const changeSchema = z.object({version: z.number(), changedBy: z.string(), changeId: z.string()});

/** Answer to a change that lost a race. */
export const conflictSchema = z.object({
	outcome: z.literal('conflict'),
	expectedVersion: z.number(),
	current: changeSchema.nullable(),
});

/** Answer to a question about planned stops. */
export const stopsSchema = z.object({
	stops: z.array(z.object({
		id: z.string(),
		scope: z.enum(['instance', 'failure_domain']),
		subject: z.string(),
		announcedAt: z.string(),
		waitsFor: z.array(z.object({instanceId: z.string(), inFlight: z.number()})).default([]),
	})),
});
