import type {InstanceId} from '../core/ids.js';

/** Settings of planning on one entry. */
export type PlanningOptions = Readonly<{
	instanceId: InstanceId;
	/** Expert copies that the weight store serves a second, over all groups. */
	weightLoadsPerSecond: number;
	/** Time between two looks at a group. */
	planIntervalMillis: number;
}>;

/** Settings of the planner of one group. */
export type GroupPlannerOptions = PlanningOptions & Readonly<{group: string}>;
