import {z} from 'zod';

/** Answer to a configuration change that was accepted. */
export const acceptedSchema = z.object({
	outcome: z.literal('accepted'),
	version: z.number(),
	confirmed: z.array(z.string()),
	missing: z.array(z.string()),
});

const changeSchema = z.object({version: z.number(), changedBy: z.string(), changeId: z.string()});

/** Answer to a configuration change that lost against a concurrent one. */
export const conflictSchema = z.object({
	outcome: z.literal('conflict'),
	expectedVersion: z.number(),
	current: changeSchema.nullable(),
});

/** Answer to a request for the planned stops. */
export const stopsSchema = z.object({
	stops: z.array(z.object({
		id: z.string(),
		scope: z.enum(['instance', 'failure_domain']),
		subject: z.string(),
		announcedAt: z.string(),
		waitsFor: z.array(z.object({instanceId: z.string(), inFlight: z.number()})).default([]),
	})),
});
