import {createId} from '../core/ids.js';
import {succeed, type Result} from '../core/result.js';
import type {ProcessContext} from '../daemon/process-context.js';
import type {PlacementError, PlacementPlan} from '../decisions/placement/placement-types.js';
import {createGroupLeaseName} from '../lease/group-lease-name.js';
import {createLease} from '../lease/lease.js';
import type {LeaseTiming} from '../lease/lease-types.js';
import {createInitialMapPlanner} from './initial-map-planner.js';
import {createGroupObserver} from './group-observer.js';
import {findGroupShape} from './group-shape.js';
import type {GroupView} from './group-view.js';
import {maintainLease} from './maintain-lease.js';
import {createExpertLoadLimiter} from './expert-load-limiter.js';
import {planGroup} from './plan-group.js';
import {GROUP_LEASE_TIMING, LOAD_BURST_INTERVALS, STALE_REPORT_INTERVALS} from './planner-constants.js';
import type {GroupPlannerOptions} from './planner-options.js';
import {createMapProposer} from './propose-map.js';
import type {RankClient} from './rank-client.js';
import {readGroupView} from './read-group-view.js';

/** What the planner of a group needs; `signal` ends it. */
export type GroupPlannerDeps = Readonly<{
	ctx: Pick<ProcessContext, 'clock' | 'log' | 'metrics' | 'table' | 'instances' | 'configuration'>;
	rankClient: RankClient;
	signal: AbortSignal;
	leaseTiming?: LeaseTiming;
}>;

/** A plan, no plan, or why none can be made. */
type PlanResult = Result<PlacementPlan | undefined, PlacementError>;

/** Looks after the expert map of one group until the signal aborts: holds its lease, plans, and puts plans to the vote. */
export async function runGroupPlanner(deps: GroupPlannerDeps, options: GroupPlannerOptions): Promise<void> {
	const {rankClient: peers, signal, ctx: {clock, metrics, instances, configuration}} = deps;
	const {group, planIntervalMillis} = options;
	const log = deps.ctx.log.child({group});
	const lease = createLease({
		table: deps.ctx.table,
		clock,
		name: createGroupLeaseName(group),
		holder: `${options.instanceId}/${createId()}`,
		timing: deps.leaseTiming ?? GROUP_LEASE_TIMING,
	});
	const observer = createGroupObserver({
		staleReportMillis: planIntervalMillis * STALE_REPORT_INTERVALS,
		onRejectedReport(error) {
			metrics.droppedFrames.inc({reason: `load_${error.tag}`});
		},
	});
	const groups = configuration.read()?.targets.groups.length ?? 1;
	const loadsPerSecond = options.weightLoadsPerSecond / Math.max(1, groups);
	const burst = Math.max(1, loadsPerSecond * planIntervalMillis * LOAD_BURST_INTERVALS / 1000);
	const pacer = createExpertLoadLimiter(clock, loadsPerSecond, burst);
	const planFirstMap = createInitialMapPlanner();
	const propose = createMapProposer({
		ctx: {log, metrics}, submit: {rankClient: peers, clock, signal}, group, loadLimiter: pacer, currentToken: lease.currentToken,
	});

	async function plan(view: GroupView): Promise<PlanResult> {
		const shape = findGroupShape(view);
		const favour = configuration.read()?.targets.groups.find(({name}) => name === group)?.favour;
		if (!shape || !favour) {
			return succeed(undefined);
		}

		const decider = observer.observe(view, shape);
		if (!decider.ok) {
			return decider;
		}

		metrics.stepSkew.set({group}, observer.measureStepSkew(view));
		return view.isUnmapped
			? planFirstMap(view, shape)
			: succeed(await planGroup(decider.value, view.map, favour, pacer.availableLoads()));
	}

	async function planOnce(): Promise<void> {
		if (lease.currentToken() === undefined) {
			return;
		}

		const view = await readGroupView(instances, peers, group);
		if (!view.ok) {
			log.warn('The group cannot be planned now', {reason: view.error.tag});
			return;
		}

		const planned = await plan(view.value);
		if (!planned.ok) {
			log.error('The group cannot be planned', {reason: planned.error.tag});
			return;
		}

		const fencingToken = lease.currentToken();
		if (planned.value && fencingToken !== undefined) {
			await propose(view.value, planned.value, fencingToken);
		}
	}

	const leaseTask = maintainLease({ctx: deps.ctx, lease, signal}, options);
	while (!signal.aborted) {
		// eslint-disable-next-line no-await-in-loop
		await clock.sleep(planIntervalMillis, signal);
		// eslint-disable-next-line no-await-in-loop
		await planOnce();
	}

	await leaseTask;
	await lease.release();
}
