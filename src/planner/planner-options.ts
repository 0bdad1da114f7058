import type {InstanceId} from '../core/ids.js';

/** Planning settings of one entry. */
export type PlanningOptions = Readonly<{
	instanceId: InstanceId;
	/** Number of expert copies that the weight store serves per second, over all groups. */
	weightLoadsPerSecond: number;
	/** Interval between two planning rounds of a group. */
	planIntervalMillis: number;
}>;

/** Settings of the planner of one group. */
export type GroupPlannerOptions = PlanningOptions & Readonly<{group: string}>;
