/**
 * Recovers a switch whose planner has stopped, as when its instance froze; the group would stay blocked until the planner resumes. A planner that
 * runs is left to finish its switch, even if that takes long in a large group: fencing a rank off meanwhile would make the switch fail.
 */
import type {Clock} from '../core/clock.js';
import {recoverSwitch} from '../map-switch/recover-switch.js';
import {readGroupState, type GroupRanks} from '../map-switch/group-ranks.js';
import type {Log} from '../observability/log.js';
import type {GroupExperts, RankEngine, RankState} from '../ports/rank-engine.js';
import {readGroupExperts} from './read-group-experts.js';
import {
	HELD_SWITCH_MILLIS, MAX_PLANNER_SWITCH_MILLIS, PLANNER_ANSWER_TIMEOUT_MILLIS, STALLED_SWITCH_MILLIS, WATCH_INTERVAL_MILLIS,
} from './rank-agent-constants.js';

/** Dependencies of {@link watchForStalledSwitch}. */
export type SwitchWatchDeps = Readonly<{
	clock: Clock;
	log: Log;
	/** The engine beside this agent. */
	engine: RankEngine;
	/** Access to all ranks through their agents, or bypassing these; undefined until all are known. */
	readRanks: (isDirect: boolean) => GroupRanks | undefined;
	/** The map of a version, if this agent has been sent it. */
	readMap: (version: number) => GroupExperts | undefined;
	/** Asks the planner's agent for an answer, and resolves to whether it gave one. */
	askPlanner: () => Promise<boolean>;
}>;

/** Watches whether the planner runs. */
type PlannerWatch = Readonly<{
	/** Asks the planner unless it is being asked. */
	ask: () => void;
	/** Whether it has answered lately, or may still answer. */
	mayRun: () => boolean;
}>;

function createPlannerWatch(clock: Clock, askPlanner: () => Promise<boolean>): PlannerWatch {
	let isAsked = false;
	let answeredAtMillis = -Infinity;
	/** When it was first asked after its last answer. */
	let unansweredSinceMillis: number | undefined;

	async function askOnce(): Promise<void> {
		isAsked = true;
		unansweredSinceMillis ??= clock.monotonicMillis();
		if (await askPlanner()) {
			answeredAtMillis = clock.monotonicMillis();
			unansweredSinceMillis = undefined;
		}

		isAsked = false;
	}

	return {
		ask() {
			if (!isAsked) {
				void askOnce();
			}
		},
		mayRun: () => clock.monotonicMillis() - Math.max(answeredAtMillis, unansweredSinceMillis ?? -Infinity) < PLANNER_ANSWER_TIMEOUT_MILLIS,
	};
}

/** Whether a rank has made no progress in a switch or in its work between two readings. */
function isUnchanged(left: RankState, right: RankState): boolean {
	return left.group.epoch === right.group.epoch
		&& left.step === right.step
		&& left.armed?.version === right.armed?.version
		&& left.hasWork === right.hasWork;
}

/** Whether the rank waits for something: for a pass to begin although it has work, or for an armed map to be released. */
function isWaiting({group, armed, hasWork}: RankState): boolean {
	return group.isOpen && (armed !== undefined || hasWork);
}

/** Time without a change after which a rank is taken to wait for a planner that has stopped. */
function chooseStallMillis({heldStep, step}: RankState): number {
	return heldStep === step + 1 ? HELD_SWITCH_MILLIS : STALLED_SWITCH_MILLIS;
}

/** Watches until the signal aborts. */
export async function watchForStalledSwitch(deps: SwitchWatchDeps, signal: AbortSignal): Promise<void> {
	const {
		clock, log, engine, readRanks, readMap, askPlanner,
	} = deps;
	const planner = createPlannerWatch(clock, askPlanner);

	/** Whether a rank that has waited for this long is to be released by this agent. */
	function isDue(state: RankState, waitedMillis: number): boolean {
		planner.ask();
		return waitedMillis >= chooseStallMillis(state) && (waitedMillis >= MAX_PLANNER_SWITCH_MILLIS || !planner.mayRun());
	}

	let isDirect = false;
	let areConnected = false;
	let lastChange: Readonly<{state: RankState; sinceMillis: number}> | undefined;
	/* eslint-disable no-await-in-loop -- Polls sequentially. */
	while (!signal.aborted) {
		const connected = areConnected ? undefined : readRanks(false);
		if (connected) {
			// Opening the connections to a large group would take most of the time of a recovery.
			areConnected = true;
			void readGroupState(connected);
		}

		const reading = await engine.readState();
		const nowMillis = clock.monotonicMillis();
		if (!reading.ok || !isWaiting(reading.value)) {
			lastChange = undefined;
		} else if (!lastChange || !isUnchanged(lastChange.state, reading.value)) {
			lastChange = {state: reading.value, sinceMillis: nowMillis};
		} else if (isDue(reading.value, nowMillis - lastChange.sinceMillis)) {
			const ranks = readRanks(isDirect);
			const isEnded = ranks && await recoverSwitch({
				ranks, clock, log, readExperts: async (withPlanner, mapVersion) => readMap(mapVersion) ?? readGroupExperts(ranks, withPlanner),
			}, signal);
			log.info('looked for a switch left behind', {
				epoch: reading.value.group.epoch,
				step: reading.value.step,
				armedVersion: reading.value.armed?.version,
				isReadable: isEnded === true,
				isDirect,
				tookMillis: Math.round(clock.monotonicMillis() - nowMillis),
			});
			// Agents of other ranks may have stopped as well.
			isDirect = isEnded !== true && !isDirect;
			lastChange = isEnded === true ? undefined : lastChange;
		}

		await clock.sleep(WATCH_INTERVAL_MILLIS, signal);
	}
	/* eslint-enable no-await-in-loop */
}
