import type {Configuration} from '../configuration/configuration.js';
import type {ProcessContext} from '../daemon/process-context.js';
import {runGroupPlanner} from './group-planner.js';
import {createGrpcRankClient} from './grpc-rank-client.js';
import type {GroupPlannerOptions, PlanningOptions} from './planner-options.js';

/** Ends a planner and waits until it has released its lease. */
export type StopPlanner = () => Promise<void>;

/** Starts the planner of one group. It ends when the process shuts down or when it is stopped. */
export function startGroupPlanner(ctx: ProcessContext, options: GroupPlannerOptions): StopPlanner {
	const controller = new AbortController();
	const peers = createGrpcRankClient(ctx.linkAccess, ctx.clock);
	const task = runGroupPlanner({ctx, rankClient: peers, signal: controller.signal}, options);
	const stop = async () => {
		controller.abort();
		await task;
		peers.close();
	};

	ctx.lifeCycle.own(`planner of ${options.group}`, stop);
	return stop;
}

/** Keeps one planner running for each group of the configuration in force. */
export function startGroupPlanners(ctx: ProcessContext, options: PlanningOptions): void {
	const running = new Map<string, StopPlanner>();

	function follow(configuration: Configuration): void {
		const wanted = new Set(configuration.targets.groups.map(({name}) => name));
		for (const [group, stop] of running) {
			if (!wanted.has(group)) {
				running.delete(group);
				void stop();
			}
		}

		for (const group of wanted) {
			if (!running.has(group)) {
				running.set(group, startGroupPlanner(ctx, {...options, group}));
			}
		}
	}

	const current = ctx.configuration.read();
	if (current) {
		follow(current);
	}

	ctx.lifeCycle.own('planners', ctx.configuration.registerListener(follow));
}
