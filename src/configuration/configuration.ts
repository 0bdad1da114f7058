import {z} from 'zod';
import {targetsSchema, type Targets} from '../targets/targets.js';
import type {ConfigVersion} from '../core/ids.js';

/** A stop that an operator announced, of one instance or of a whole failure domain. */
const plannedStopSchema = z.strictObject({
	id: z.string().min(1),
	scope: z.enum(['instance', 'failure_domain']),
	/** Id of the instance or name of the failure domain. */
	subject: z.string().min(1),
	/** ISO 8601 time of the announcement. */
	announcedAt: z.string(),
});

/** Schema of the configuration as it is stored and sent. */
export const configurationSchema = z.strictObject({
	version: z.number().int().nonnegative(),
	/** Id of the change that made this version; settles a lost reply of the table. */
	changeId: z.string(),
	/** Who made the change, as the operator's tool gave it. */
	changedBy: z.string(),
	targets: targetsSchema,
	plannedStops: z.array(plannedStopSchema),
});

/** A stop that an operator announced. */
export type PlannedStop = Readonly<z.infer<typeof plannedStopSchema>>;

/** One version of everything operators decide. Kept in one row of the table service. */
export type Configuration = Readonly<{
	version: ConfigVersion;
	changeId: string;
	changedBy: string;
	targets: Targets;
	plannedStops: readonly PlannedStop[];
}>;
