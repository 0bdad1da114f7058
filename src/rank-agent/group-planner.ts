/** Plans the expert map of one group: looks at its ranks, decides on moves, and switches. Runs beside rank 0. */
import type {Clock} from '../core/clock.js';
import {createLoadScenarios, type LoadScenarios} from '../decisions/placement/load-scenarios.js';
import {planMoves, type MovesPlan} from '../decisions/placement/plan-moves.js';
import {finishSwitch, hasLeftover} from '../map-switch/finish-switch.js';
import {
	isGroupState, readGroupLoad, type GroupRanks, type GroupState,
} from '../map-switch/group-ranks.js';
import {FAILURE_PAUSE_MILLIS, MAX_COUNTS_PER_SECOND, OBSERVE_MILLIS} from '../map-switch/map-switch-constants.js';
import {switchMap, type SwitchDeps} from '../map-switch/switch-map.js';
import type {Log} from '../observability/log.js';
import type {GroupExperts} from '../ports/rank-engine.js';
import type {ExpertLayout} from '../routing/routing-configuration.js';
import {MAX_COPY_MILLIS} from './rank-agent-constants.js';
import {readGroupExperts} from './read-group-experts.js';

/** What a planner needs. */
export type GroupPlannerDeps = Readonly<{
	clock: Clock;
	log: Log;
	/** Access to all ranks; undefined while not all are known. */
	readRanks: () => GroupRanks | undefined;
	/** Shape of the group; undefined until a configuration is known. */
	readLayout: () => ExpertLayout | undefined;
	versions: Pick<SwitchDeps, 'takeVersion' | 'reserveStep'>;
}>;

const MILLIS_PER_SECOND = 1000;
/** Scenarios that a plan rests on at least. */
const LEAST_SCENARIOS = 5;

/** What is known of the load. It outlives the epochs of the group: callers ask on for the same. */
type Observation = Readonly<{
	epoch: number;
	shape: ExpertLayout;
	scenarios: LoadScenarios;
	/** Counts of each rank at the last look. */
	counts: ReadonlyArray<readonly number[]>;
}>;

/** How often each expert was chosen since the look before; the counts of an engine that started anew begin at 0. */
function subtract(counts: readonly number[], before: readonly number[]): readonly number[] {
	return counts.map((count, i) => Math.max(0, count - (before[i] ?? 0)));
}

/** Plans until the signal aborts; a switch that has begun is carried out first. */
export async function planGroup(deps: GroupPlannerDeps, signal: AbortSignal): Promise<void> {
	const {clock, log} = deps;
	let observation: Observation | undefined;
	let experts: GroupExperts | undefined;

	function observe(state: GroupState, counts: ReadonlyArray<readonly number[]>, layout: ExpertLayout): void {
		const {epoch} = state;
		if (observation?.shape.layers !== layout.layers || observation.shape.experts !== layout.experts) {
			experts = undefined;
			observation = {
				epoch, shape: layout, scenarios: createLoadScenarios(layout.layers, layout.experts), counts,
			};
			return;
		}

		if (observation.epoch !== epoch) {
			experts = undefined;
			observation = {...observation, epoch, counts};
			return;
		}

		for (const [rank, list] of counts.entries()) {
			observation.scenarios.observe(rank, subtract(list, observation.counts[rank] ?? []));
		}

		observation = {...observation, counts};
	}

	function plan(state: GroupState, layout: ExpertLayout): MovesPlan | undefined {
		if (!observation || !experts || observation.scenarios.countKept() < LEAST_SCENARIOS) {
			return undefined;
		}

		const maxCopiesPerRank = Math.max(1, Math.floor(MAX_COPY_MILLIS / Math.max(1, layout.copyMillis)));
		return planMoves({
			experts,
			slotsPerRank: layout.slotsPerRank,
			scenarios: experts.map((_, layer) => observation?.scenarios.read(layer) ?? []),
			slowFactors: state.ranks.map(({pace}) => Math.max(1, pace)),
			maxCopiesPerRank,
			maxCopiesPerRankAndLayer: Math.min(maxCopiesPerRank, layout.maxLoadsPerRank),
		});
	}

	async function carryOut(ranks: GroupRanks, state: GroupState, moves: MovesPlan, layout: ExpertLayout): Promise<void> {
		const outcome = await switchMap({
			ranks, clock, log, ...deps.versions,
		}, {epoch: state.epoch, experts: moves.experts, copyMillis: moves.mostCopies * layout.copyMillis});
		log.info('map switch', {
			outcome: outcome.tag,
			reason: 'reason' in outcome ? outcome.reason : undefined,
			version: 'version' in outcome ? outcome.version : undefined,
			step: 'step' in outcome ? outcome.step : undefined,
			tookMillis: 'tookMillis' in outcome ? Math.round(outcome.tookMillis) : undefined,
			epoch: state.epoch,
			copies: moves.copies,
			skewBefore: moves.skewBefore,
			skewAfter: moves.skewAfter,
		});
		experts = outcome.tag === 'switched' ? moves.experts : undefined;
	}

	/** One look at the group and what follows; the time until the next look. */
	async function look(ranks: GroupRanks, layout: ExpertLayout): Promise<number> {
		const {state, counts} = await readGroupLoad(ranks);
		if (!isGroupState(state)) {
			log.debug('group cannot be planned', {reason: state.tag, rank: state.rank});
			return FAILURE_PAUSE_MILLIS;
		}

		if (hasLeftover(state)) {
			experts = undefined;
			await finishSwitch({
				ranks, clock, log, readExperts: async () => readGroupExperts(ranks),
			}, signal);
			return 0;
		}

		observe(state, counts, layout);
		experts ??= await readGroupExperts(ranks);
		const moves = plan(state, layout);
		if (moves) {
			await carryOut(ranks, state, moves, layout);
			return 0;
		}

		const numbers = layout.layers * layout.experts * ranks.length;
		return Math.max(OBSERVE_MILLIS, numbers * MILLIS_PER_SECOND / MAX_COUNTS_PER_SECOND);
	}

	/* eslint-disable no-await-in-loop -- One look after the other. */
	while (!signal.aborted) {
		const ranks = deps.readRanks();
		const layout = deps.readLayout();
		await clock.sleep(ranks && layout ? await look(ranks, layout) : FAILURE_PAUSE_MILLIS, signal);
	}
	/* eslint-enable no-await-in-loop */
}
