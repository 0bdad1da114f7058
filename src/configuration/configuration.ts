import {z} from 'zod';
import {targetsSchema, type Targets} from '../targets/targets.js';
import type {ConfigVersion} from '../core/ids.js';

/** A stop announced by an operator, for one instance or a whole failure domain. */
const plannedStopSchema = z.strictObject({
	id: z.string().min(1),
	scope: z.enum(['instance', 'failure_domain']),
	/** Id of the instance or name of the failure domain. */
	subject: z.string().min(1),
	/** ISO 8601 time of the announcement. */
	announcedAt: z.string(),
});

/** Schema of the configuration in the table and on the links. */
export const configurationSchema = z.strictObject({
	version: z.number().int().nonnegative(),
	/** Id of the change that produced this version; shows after a lost table reply whether the write was applied. */
	changeId: z.string(),
	/** Author of the change, as given by the operator's tool. */
	changedBy: z.string(),
	targets: targetsSchema,
	plannedStops: z.array(plannedStopSchema),
});

/** A stop announced by an operator. */
export type PlannedStop = Readonly<z.infer<typeof plannedStopSchema>>;

/** One version of the operator-managed configuration. Stored in a single row of the table service. */
export type Configuration = Readonly<{
	version: ConfigVersion;
	changeId: string;
	changedBy: string;
	targets: Targets;
	plannedStops: readonly PlannedStop[];
}>;
