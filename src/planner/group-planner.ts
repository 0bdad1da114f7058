import {createId} from '../core/ids.js';
import {fail, type Result} from '../core/result.js';
import type {ProcessContext} from '../daemon/process-context.js';
import {createInitialMap, EMPTY_SLOT} from '../decisions/placement/initial-map.js';
import type {GroupShape, PlacementPlan} from '../decisions/placement/placement-types.js';
import {createGroupLeaseName} from '../lease/group-lease-name.js';
import {createLease, type Lease} from '../lease/lease.js';
import type {LeaseTiming} from '../lease/lease-types.js';
import type {InstanceListError} from '../ports/instance-list.js';
import type {ExpertMap} from '../ports/model-engine.js';
import {buildProposal} from './build-proposal.js';
import {isContender} from './choose-contender.js';
import {followProposal} from './follow-proposal.js';
import {createGroupObserver} from './group-observer.js';
import {findGroupShape} from './group-shape.js';
import {
	joinRankStates, listMembers, type GroupView, type GroupViewError,
} from './group-view.js';
import {createLoadPacer} from './load-pacer.js';
import {
	FIRST_MAP_SIGHTINGS, GROUP_LEASE_TIMING, LEASE_RENEWAL_MILLIS, LOAD_BURST_INTERVALS, OUTCOME_TIMEOUT_MILLIS,
	STALE_REPORT_INTERVALS,
} from './planner-constants.js';
import {planGroup} from './plan-group.js';
import type {GroupPlannerOptions} from './planner-options.js';
import type {RankPeers} from './rank-peers.js';

/** What the planner of a group needs; `signal` ends it. */
export type GroupPlannerDeps = Readonly<{
	ctx: Pick<ProcessContext, 'clock' | 'log' | 'metrics' | 'table' | 'instances' | 'configuration'>;
	peers: RankPeers;
	signal: AbortSignal;
	leaseTiming?: LeaseTiming;
}>;

function countCopiesOfMap(map: ExpertMap): number {
	let copies = 0;
	for (const {slots} of map.layers) {
		copies += slots.filter(expert => expert !== EMPTY_SLOT).length;
	}

	return copies;
}

/** Looks after the expert map of one group until the signal aborts: holds its lease, plans, and puts plans to the vote. */
export async function runGroupPlanner(deps: GroupPlannerDeps, options: GroupPlannerOptions): Promise<void> {
	const {ctx, peers, signal} = deps;
	const {clock, metrics, instances} = ctx;
	const {group, planIntervalMillis} = options;
	const log = ctx.log.child({group});
	const lease = createLease({
		table: ctx.table,
		clock,
		name: createGroupLeaseName(group),
		holder: `${options.instanceId}/${createId()}`,
		timing: deps.leaseTiming ?? GROUP_LEASE_TIMING,
	});
	const observer = createGroupObserver({
		staleReportMillis: planIntervalMillis * STALE_REPORT_INTERVALS,
		onRefusedReport(error) {
			metrics.droppedFrames.inc({reason: `load_${error.tag}`});
		},
	});
	const groups = ctx.configuration.read()?.targets.groups.length ?? 1;
	const loadsPerSecond = options.weightLoadsPerSecond / Math.max(1, groups);
	const burst = Math.max(1, loadsPerSecond * planIntervalMillis * LOAD_BURST_INTERVALS / 1000);
	const pacer = createLoadPacer(clock, loadsPerSecond, burst);
	let counter = 0;
	let counterToken = 0;
	let freshSightings = 0;
	let freshRanks = 0;

	async function readView(): Promise<Result<GroupView, GroupViewError | InstanceListError>> {
		const list = await instances.list();
		if (!list.ok) {
			return list;
		}

		const members = listMembers(list.value, group);
		if (!members.ok) {
			return members;
		}

		const answers = await Promise.all(members.value.map(async ({address}) => peers.readRank(address, group)));
		return joinRankStates(members.value, answers.map(answer => answer.ok ? answer.value : undefined));
	}

	function nextEpochCounter(token: number): number {
		counter = token === counterToken ? counter + 1 : 1;
		counterToken = token;
		return counter;
	}

	function planFirstMap(view: GroupView, shape: GroupShape): PlacementPlan | undefined {
		freshSightings = freshRanks === shape.ranks ? freshSightings + 1 : 1;
		freshRanks = shape.ranks;
		const isSizeKnown = view.map.layers.length > 0 && (view.map.layers[0]?.slots.length ?? 0) > 0;
		if (!isSizeKnown && freshSightings < FIRST_MAP_SIGHTINGS) {
			return undefined;
		}

		const map = createInitialMap(shape);
		if (!map.ok) {
			log.error('The group cannot be given a map', {reason: map.error.tag});
			return undefined;
		}

		return {map: map.value, loads: countCopiesOfMap(map.value)};
	}

	async function plan(view: GroupView): Promise<PlacementPlan | undefined> {
		const shape = findGroupShape(view);
		const favour = ctx.configuration.read()?.targets.groups.find(({name}) => name === group)?.favour;
		if (!shape || !favour) {
			return undefined;
		}

		const decider = observer.observe(view, shape);
		if (!decider.ok) {
			log.error('The group cannot be planned', {reason: decider.error.tag});
			return undefined;
		}

		metrics.stepSkew.set({group}, observer.measureStepSkew(view));
		return view.isFresh ? planFirstMap(view, shape) : planGroup(decider.value, view.map, favour, pacer.available());
	}

	async function propose(view: GroupView, {map, loads}: PlacementPlan, fencingToken: number): Promise<void> {
		pacer.spend(loads);
		const loadingMillis = Math.max(pacer.busyMillis(), loads * 1000 / loadsPerSecond);
		const proposal = buildProposal({
			group, view, map, fencingToken, counter: nextEpochCounter(fencingToken), loadingMillis,
		});
		log.info('Proposing a map', {
			epoch: proposal.epoch, fromStep: proposal.fromStep, step: view.step, loads,
		});
		const outcome = await followProposal({
			peers, clock, signal, isLeaseHeld: () => lease.currentToken() === fencingToken,
		}, proposal, loadingMillis + OUTCOME_TIMEOUT_MILLIS);
		metrics.mapOutcomes.inc({outcome});
		if (outcome === 'committed') {
			metrics.movedExperts.inc({group}, loads);
		}

		log.info('The vote on a map ended', {epoch: proposal.epoch, outcome});
	}

	async function planOnce(): Promise<void> {
		if (lease.currentToken() === undefined) {
			return;
		}

		const view = await readView();
		if (!view.ok) {
			log.warn('The group cannot be planned now', {reason: view.error.tag});
			return;
		}

		const placementPlan = await plan(view.value);
		const token = lease.currentToken();
		if (placementPlan && token !== undefined) {
			await propose(view.value, placementPlan, token);
		}
	}

	const leaseTask = keepLease(deps, options, lease);
	while (!signal.aborted) {
		// eslint-disable-next-line no-await-in-loop
		await clock.sleep(planIntervalMillis, signal);
		// eslint-disable-next-line no-await-in-loop
		await planOnce();
	}

	await leaseTask;
	await lease.release();
}

/** Holds the lease of the group, or tries to get it, until the signal aborts. */
async function keepLease(deps: GroupPlannerDeps, options: GroupPlannerOptions, lease: Lease): Promise<void> {
	const {ctx, signal} = deps;
	const log = ctx.log.child({group: options.group});

	async function mayContend(): Promise<boolean> {
		if (lease.currentToken() !== undefined) {
			return true;
		}

		const list = await ctx.instances.list();
		return list.ok && isContender(list.value, options.group, options.instanceId);
	}

	while (!signal.aborted) {
		// eslint-disable-next-line no-await-in-loop
		if (await mayContend()) {
			const tokenBefore = lease.currentToken();
			// eslint-disable-next-line no-await-in-loop
			const kept = await lease.keep();

			if (kept.ok && kept.value.fencingToken !== tokenBefore) {
				log.info('Acquired the lease of the group', {fencingToken: kept.value.fencingToken});
			}
		}

		// eslint-disable-next-line no-await-in-loop
		await ctx.clock.sleep(LEASE_RENEWAL_MILLIS, signal);
	}
}
