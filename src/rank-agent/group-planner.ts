/** Plans the expert map of one group: decides on moves by its latest load, and switches. Runs beside the planner's rank. */
import {planMoves, type MovesPlan} from '../decisions/placement/plan-moves.js';
import {finishSwitch, hasLeftover} from '../map-switch/finish-switch.js';
import {
	isGroupState, readGroupState, type GroupRanks, type GroupState,
} from '../map-switch/group-ranks.js';
import {EFFECT_PAUSE_MILLIS, FAILURE_PAUSE_MILLIS, PLAN_PAUSE_MILLIS} from '../map-switch/map-switch-constants.js';
import {switchMap, type SwitchDeps} from '../map-switch/switch-map.js';
import type {GroupExperts} from '../ports/rank-engine.js';
import {createGroupObserver, type GroupObserverDeps, type Observation} from './observe-group.js';
import {MAX_COPY_MILLIS} from './rank-agent-constants.js';
import {readGroupExperts} from './read-group-experts.js';

/** What a planner needs. */
export type GroupPlannerDeps = GroupObserverDeps & Readonly<{
	versions: Pick<SwitchDeps, 'takeVersion' | 'reserveStep'>;
}>;

/** Scenarios that a plan rests on at least. */
const LEAST_SCENARIOS = 5;

/** The map in force in an epoch. */
type MapInForce = Readonly<{epoch: number; experts: GroupExperts}>;

function plan({layout, scenarios, slowFactors}: Observation, experts: GroupExperts): MovesPlan | undefined {
	if (scenarios.countKept() < LEAST_SCENARIOS) {
		return undefined;
	}

	const maxCopiesPerRank = Math.max(1, Math.floor(MAX_COPY_MILLIS / Math.max(1, layout.copyMillis)));
	return planMoves({
		experts,
		slotsPerRank: layout.slotsPerRank,
		scenarios: experts.map((_, layer) => scenarios.read(layer)),
		slowFactors,
		maxCopiesPerRank,
		maxCopiesPerRankAndLayer: Math.min(maxCopiesPerRank, layout.maxLoadsPerRank),
	});
}

/** Plans until the signal aborts; a switch that has begun is carried out first. */
export async function planGroup(deps: GroupPlannerDeps, signal: AbortSignal): Promise<void> {
	const {clock, log, readRanks} = deps;
	const observer = createGroupObserver(deps);
	let inForce: MapInForce | undefined;

	async function carryOut(ranks: GroupRanks, epoch: number, moves: MovesPlan, copyMillis: number): Promise<void> {
		const outcome = await switchMap({
			ranks, clock, log, ...deps.versions,
		}, {epoch, experts: moves.experts, copyMillis: moves.mostCopies * copyMillis});
		log.info('map switch', {
			outcome: outcome.tag,
			reason: 'reason' in outcome ? outcome.reason : undefined,
			version: 'version' in outcome ? outcome.version : undefined,
			step: 'step' in outcome ? outcome.step : undefined,
			tookMillis: 'tookMillis' in outcome ? Math.round(outcome.tookMillis) : undefined,
			epoch,
			copies: moves.copies,
			skewBefore: moves.skewBefore,
			skewAfter: moves.skewAfter,
		});
		inForce = outcome.tag === 'switched' ? {epoch, experts: moves.experts} : undefined;
	}

	async function readInForce(ranks: GroupRanks, {epoch}: GroupState): Promise<GroupExperts | undefined> {
		if (inForce?.epoch !== epoch) {
			const experts = await readGroupExperts(ranks);
			inForce = experts && {epoch, experts};
		}

		return inForce?.experts;
	}

	/** Ends what was left behind, or makes the next move; the time until the next step. */
	async function act(ranks: GroupRanks): Promise<number> {
		const state = await readGroupState(ranks);
		if (!isGroupState(state)) {
			return FAILURE_PAUSE_MILLIS;
		}

		if (hasLeftover(state)) {
			inForce = undefined;
			await finishSwitch({
				ranks, clock, log, readExperts: async () => readGroupExperts(ranks),
			}, signal);
			return 0;
		}

		if (state.ranks.some(({armed}) => armed !== undefined)) {
			return EFFECT_PAUSE_MILLIS;
		}

		const experts = await readInForce(ranks, state);
		const observation = observer.read();
		const moves = experts && observation?.epoch === state.epoch ? plan(observation, experts) : undefined;
		if (!moves || !observation) {
			return PLAN_PAUSE_MILLIS;
		}

		await carryOut(ranks, state.epoch, moves, observation.layout.copyMillis);
		return 0;
	}

	const observing = observer.run(signal);
	/* eslint-disable no-await-in-loop -- One step after the other. */
	while (!signal.aborted) {
		const ranks = readRanks();
		await clock.sleep(ranks ? await act(ranks) : FAILURE_PAUSE_MILLIS, signal);
	}
	/* eslint-enable no-await-in-loop */

	await observing;
}
