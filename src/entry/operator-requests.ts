/** Schemas of operator request bodies. */
import {z} from 'zod';
import {targetsSchema} from '../targets/targets.js';

const changedBy = z.string().min(1).max(200);

/** Body of `PUT /v1/configuration`. */
export const changeTargetsSchema = z.strictObject({
	/** Version that the change replaces; 0 for the first configuration. */
	expectedVersion: z.number().int().nonnegative(),
	changedBy,
	/** New for each change; the same id again when retrying a change whose response was lost. */
	changeId: z.string().min(1).max(200),
	targets: targetsSchema,
});

/** Body of `POST /v1/stops`. */
export const planStopSchema = z.strictObject({
	scope: z.enum(['instance', 'failure_domain']),
	subject: z.string().min(1).max(200),
	changedBy,
});
