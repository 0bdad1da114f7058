/** Bodies of operators' requests. */
import {z} from 'zod';
import {targetsSchema} from '../targets/targets.js';

const changedBy = z.string().min(1).max(200);

/** Body of `PUT /v1/configuration`. */
export const changeTargetsSchema = z.strictObject({
	/** Version that the change replaces; 0 for the first. */
	expectedVersion: z.number().int().nonnegative(),
	changedBy,
	/** Fresh for each change; the same when the answer to a change was lost. */
	changeId: z.string().min(1).max(200),
	targets: targetsSchema,
});

/** Body of `POST /v1/stops`. */
export const planStopSchema = z.strictObject({
	scope: z.enum(['instance', 'failure_domain']),
	subject: z.string().min(1).max(200),
	changedBy,
});
