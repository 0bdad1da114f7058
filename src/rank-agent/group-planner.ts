/** Plans the expert map of one group: computes moves from its recent load and switches the map. Runs beside the planner's rank. */
import type {Clock} from '../core/clock.js';
import {planMoves, type MovesPlan} from '../decisions/placement/plan-moves.js';
import {recoverSwitch, hasUnfinishedSwitch} from '../map-switch/recover-switch.js';
import {
	getAnchorRank, isGroupState, PLANNER_RANK, type GroupRanks, type GroupState, type GroupStateError,
} from '../map-switch/group-ranks.js';
import {
	FIRST_OBSERVE_INTERVAL_MILLIS, FAILURE_PAUSE_MILLIS, MAX_COUNTS_PER_SECOND, MAX_STATE_DELAY_MILLIS, OBSERVE_INTERVAL_MILLIS,
	PENDING_SWITCH_POLL_INTERVAL_MILLIS, SAMPLE_INTERVAL_MILLIS, SAMPLE_POLL_INTERVAL_MILLIS, START_PAUSE_MILLIS, STATE_INTERVAL_MILLIS,
} from '../map-switch/map-switch-constants.js';
import {switchMap, type SwitchDeps} from '../map-switch/switch-map.js';
import {createSwitchTiming} from '../map-switch/switch-timing.js';
import type {Log} from '../observability/log.js';
import type {GroupExperts} from '../ports/rank-engine.js';
import type {ExpertLayout} from '../routing/routing-configuration.js';
import type {SlowRankPublisher} from '../slow-ranks/slow-rank-publisher.js';
import {createGroupObserver, isLargeGroup, type Observation} from './observe-group.js';
import {MAX_COPY_MILLIS} from './rank-agent-constants.js';
import {readGroupExperts} from './read-group-experts.js';

/** Dependencies of the planner. */
export type GroupPlannerDeps = Readonly<{
	clock: Clock;
	log: Log;
	/** Access to all ranks; undefined until all are known. */
	readRanks: () => GroupRanks | undefined;
	/** Expert layout of the group; undefined until a configuration is known. */
	readLayout: () => ExpertLayout | undefined;
	/** Tells the entries which ranks are slow; optional. */
	slowRanks?: SlowRankPublisher;
	versions: Pick<SwitchDeps, 'takeVersion' | 'chooseStep'>;
}>;

const MILLIS_PER_SECOND = 1000;
/** Minimum number of load scenarios required for a plan. */
const MIN_SCENARIOS = 5;
/** The same in a large group, where a scenario is the load of several ranks. */
const MIN_SAMPLED_SCENARIOS = 2;

/** New samples of a large group after which a map is planned for the same popularity. */
const SAMPLES_PER_PLAN = 3;

/** Time for copying an expert, in milliseconds, and the changes of popularity that had been noticed when the moves were planned. */
type MovesTerms = Readonly<{copyMillis: number; plannedChanges: number}>;

/** What a released switch of a group does. */
type PassWait = 'waiting' | 'over' | 'held_again';

/** Active map in an epoch. */
type ActiveMap = Readonly<{epoch: number; experts: GroupExperts}>;

function hasEnoughSamples({layout, scenarios}: Observation, {size}: GroupState): boolean {
	return scenarios.countSamples() >= (isLargeGroup(size, layout) ? MIN_SAMPLED_SCENARIOS : MIN_SCENARIOS);
}

function planMapMoves({layout, scenarios}: Observation, state: GroupState, experts: GroupExperts): MovesPlan | undefined {
	const maxCopiesPerRank = Math.max(1, Math.floor(MAX_COPY_MILLIS / Math.max(1, layout.copyMillis)));
	return planMoves({
		experts,
		slotsPerRank: layout.slotsPerRank,
		scenarios: experts.map((_, layer) => scenarios.read(layer)),
		slowFactors: state.ranks.map(({slowFactor}) => Math.max(1, slowFactor)),
		maxCopiesPerRank,
		maxCopiesPerRankAndLayer: Math.min(maxCopiesPerRank, layout.maxLoadsPerRank),
	});
}

/** Plans until the signal aborts; a switch in progress is completed first. */
export async function planGroup(deps: GroupPlannerDeps, signal: AbortSignal): Promise<void> {
	const {clock, log} = deps;
	const observer = createGroupObserver();
	const timing = createSwitchTiming();
	let activeMap: ActiveMap | undefined;
	let isOpen = false;
	/** Whether a switch of a large group has been released and its pass may not have begun. */
	let isPending = false;
	/** Samples of a large group so far, those for which a map was planned last, and changes of popularity in them. */
	let samples = 0;
	let plannedSamples = 0;
	let changes = 0;
	/** Whether the popularity has changed since the last plan. */
	let hasChanged = false;
	/** State of a large group as last read, which is used until it is due again. */
	let known: Readonly<{state: GroupState; untilMillis: number}> | undefined;

	/** Switches to the planned map, unless the popularity changes meanwhile; resolves to the time until the next reading. */
	async function applyMoves(ranks: GroupRanks, {epoch, experts: base}: ActiveMap, moves: MovesPlan, {copyMillis, plannedChanges}: MovesTerms): Promise<number> {
		const outcome = await switchMap({
			ranks, clock, log, timing, ...deps.versions,
		}, {
			epoch, experts: moves.experts, base, copyMillis: moves.maxRankCopies * copyMillis, isOutdated: () => changes !== plannedChanges,
		});
		log.info('map switch', {
			outcome: outcome.tag,
			reason: 'reason' in outcome ? outcome.reason : undefined,
			version: 'version' in outcome ? outcome.version : undefined,
			step: 'step' in outcome ? outcome.step : undefined,
			tookMillis: 'tookMillis' in outcome ? Math.round(outcome.tookMillis) : undefined,
			heldMillis: 'heldMillis' in outcome ? outcome.heldMillis : undefined,
			epoch,
			copies: moves.copies,
			skewBefore: moves.skewBefore,
			skewAfter: moves.skewAfter,
		});
		const isDecided = outcome.tag !== 'unfinished';
		activeMap = isDecided ? {epoch, experts: outcome.tag === 'switched' ? moves.experts : base} : undefined;
		isPending = outcome.tag === 'switched' && known !== undefined;
		// All ranks have answered the orders of a switch, so their states need not be read at once.
		known = isDecided && known ? {...known, untilMillis: isPending ? clock.monotonicMillis() + STATE_INTERVAL_MILLIS : known.untilMillis} : undefined;
		return outcome.tag === 'not_begun' && changes === plannedChanges ? OBSERVE_INTERVAL_MILLIS : 0;
	}

	async function readActiveExperts(ranks: GroupRanks, {epoch}: GroupState): Promise<GroupExperts | undefined> {
		if (activeMap?.epoch !== epoch) {
			const experts = await readGroupExperts(ranks);
			activeMap = experts && {epoch, experts};
		}

		return activeMap?.experts;
	}

	/** Reads the state of the group, or returns the last one of a large group while it is recent. */
	async function observe(ranks: GroupRanks, layout: ExpertLayout): Promise<GroupState | GroupStateError> {
		const nowMillis = clock.monotonicMillis();
		// The calls to all ranks would delay a map for a load that has just changed.
		const extraMillis = hasChanged ? MAX_STATE_DELAY_MILLIS : 0;
		if (known && nowMillis < known.untilMillis + extraMillis) {
			return known.state;
		}

		const state = await observer.observe(ranks, layout);
		known = isGroupState(state) && isLargeGroup(ranks.length, layout) ? {state, untilMillis: nowMillis + STATE_INTERVAL_MILLIS} : undefined;
		return state;
	}

	/**
	 * Looks whether the engine beside this process still waits for the pass of a released switch. An order to hold that was not answered may be
	 * executed after the release; then the states of all ranks are read next, and the hold is released again.
	 */
	async function lookForPass(ranks: GroupRanks): Promise<PassWait> {
		const [state, anchor] = await Promise.all([ranks[PLANNER_RANK]?.readState(), ranks[getAnchorRank(ranks.length)]?.readState()]);
		if (anchor?.ok === true && anchor.value.heldStep !== undefined) {
			known = undefined;
			return 'held_again';
		}

		return state?.ok === true && state.value.group.epoch === activeMap?.epoch && state.value.armed !== undefined ? 'waiting' : 'over';
	}

	/** Waits until a released switch has taken effect, because armed ranks prepare no other map; false if it does not. */
	async function waitForPass(ranks: GroupRanks): Promise<boolean> {
		/* eslint-disable no-await-in-loop -- Polls sequentially. */
		while (isPending && !signal.aborted) {
			const wait = await lookForPass(ranks);
			isPending = wait === 'waiting';
			if (wait === 'held_again') {
				return false;
			}

			await clock.sleep(isPending ? SAMPLE_POLL_INTERVAL_MILLIS : 0, signal);
		}
		/* eslint-enable no-await-in-loop */

		return true;
	}

	/** Updates whether the group is open from the engine beside this process, which costs no call to another instance. */
	async function lookIfOpen(ranks: GroupRanks): Promise<void> {
		const state = await ranks[PLANNER_RANK]?.readState();
		isOpen = state?.ok === true && state.value.group.isOpen;
	}

	/** Plans moves for the load observed so far and switches to them; resolves to the time until the next reading. */
	async function planAndApply(ranks: GroupRanks, layout: ExpertLayout, state: GroupState, active: ActiveMap): Promise<number> {
		const isLarge = isLargeGroup(ranks.length, layout);
		const observation = observer.read();
		const isEnough = observation !== undefined && hasEnoughSamples(observation, state);
		if (isLarge && (!isEnough || samples - plannedSamples < (hasChanged ? 1 : SAMPLES_PER_PLAN))) {
			return SAMPLE_POLL_INTERVAL_MILLIS;
		}

		plannedSamples = samples;
		hasChanged = false;
		const plannedChanges = changes;
		const startedAtMillis = clock.monotonicMillis();
		const moves = isEnough ? planMapMoves(observation, state, active.experts) : undefined;
		log.debug('map plan', {
			samples: observation?.scenarios.countSamples() ?? 0,
			planMillis: Math.round(clock.monotonicMillis() - startedAtMillis),
			copies: moves?.copies ?? 0,
		});
		if (moves) {
			return await waitForPass(ranks) ? applyMoves(ranks, active, moves, {copyMillis: layout.copyMillis, plannedChanges}) : 0;
		}

		if (isLarge) {
			return SAMPLE_POLL_INTERVAL_MILLIS;
		}

		const numbers = layout.layers * layout.experts * ranks.length;
		const intervalMillis = state.ranks.every(({mapVersion}) => mapVersion === 0) ? FIRST_OBSERVE_INTERVAL_MILLIS : OBSERVE_INTERVAL_MILLIS;
		return Math.max(intervalMillis, numbers * MILLIS_PER_SECOND / MAX_COUNTS_PER_SECOND);
	}

	/** Reads the group and acts on its state; resolves to the time until the next reading. */
	async function observeAndAct(ranks: GroupRanks, layout: ExpertLayout): Promise<number> {
		isPending &&= await lookForPass(ranks) === 'waiting';
		if (isPending && !(hasChanged && known)) {
			return PENDING_SWITCH_POLL_INTERVAL_MILLIS;
		}

		const state = await observe(ranks, layout);
		if (!isGroupState(state)) {
			isOpen = false;
			log.debug('group cannot be planned', {reason: state.tag, rank: state.rank});
			return FAILURE_PAUSE_MILLIS;
		}

		void deps.slowRanks?.publish(state);
		if (hasUnfinishedSwitch(state)) {
			activeMap = undefined;
			known = undefined;
			await recoverSwitch({
				ranks, clock, log, readExperts: async () => readGroupExperts(ranks),
			}, signal);
			return 0;
		}

		if (state.ranks.some(({armed}) => armed !== undefined)) {
			known = undefined;
			return PENDING_SWITCH_POLL_INTERVAL_MILLIS;
		}

		const experts = await readActiveExperts(ranks, state);
		return experts ? planAndApply(ranks, layout, state, {epoch: state.epoch, experts}) : OBSERVE_INTERVAL_MILLIS;
	}

	/** Reads the sampled ranks of a large group at regular intervals, also during a switch: a sample over a longer time shows the load before a change and after it as one. */
	async function sampleRegularly(): Promise<void> {
		/* eslint-disable no-await-in-loop -- Samples are sequential. */
		while (!signal.aborted) {
			const startedAtMillis = clock.monotonicMillis();
			const ranks = deps.readRanks();
			const layout = deps.readLayout();
			const observation = observer.read();
			if (ranks && layout && observation && isOpen && isLargeGroup(ranks.length, layout)) {
				if (await observer.sample(ranks, layout)) {
					changes++;
					hasChanged = true;
					log.info('expert popularity changed', {epoch: observation.epoch});
				} else {
					samples++;
				}
			}

			await clock.sleep(Math.max(SAMPLE_POLL_INTERVAL_MILLIS, SAMPLE_INTERVAL_MILLIS + startedAtMillis - clock.monotonicMillis()), signal);
		}
		/* eslint-enable no-await-in-loop */
	}

	/** Looks often whether a broken group has opened: until its first switch, its load is spread by a map that knows nothing of it. */
	async function observeOnceOpen(ranks: GroupRanks, layout: ExpertLayout): Promise<number> {
		if (!isOpen) {
			await lookIfOpen(ranks);
		}

		return isOpen ? observeAndAct(ranks, layout) : START_PAUSE_MILLIS;
	}

	void sampleRegularly();
	/* eslint-disable no-await-in-loop -- Steps run sequentially. */
	while (!signal.aborted) {
		const ranks = deps.readRanks();
		const layout = deps.readLayout();
		await clock.sleep(ranks && layout ? await observeOnceOpen(ranks, layout) : START_PAUSE_MILLIS, signal);
	}
	/* eslint-enable no-await-in-loop */
}
