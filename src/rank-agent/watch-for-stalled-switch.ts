/** Recovers a switch whose planner has stopped, as when its instance froze; the group would stay blocked until the planner resumes. */
import type {Clock} from '../core/clock.js';
import {recoverSwitch} from '../map-switch/recover-switch.js';
import type {GroupRanks} from '../map-switch/group-ranks.js';
import type {Log} from '../observability/log.js';
import type {RankEngine, RankState} from '../ports/rank-engine.js';
import {readGroupExperts} from './read-group-experts.js';
import {HELD_SWITCH_MILLIS, STALLED_SWITCH_MILLIS, WATCH_INTERVAL_MILLIS} from './rank-agent-constants.js';

/** Dependencies of {@link watchForStalledSwitch}. */
export type SwitchWatchDeps = Readonly<{
	clock: Clock;
	log: Log;
	/** The engine beside this agent. */
	engine: RankEngine;
	/** Access to all ranks that bypasses their agents; undefined until all are known. */
	readRanks: () => GroupRanks | undefined;
}>;

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
export async function watchForStalledSwitch({clock, log, engine, readRanks}: SwitchWatchDeps, signal: AbortSignal): Promise<void> {
	let lastChange: Readonly<{state: RankState; sinceMillis: number}> | undefined;
	/* eslint-disable no-await-in-loop -- Polls sequentially. */
	while (!signal.aborted) {
		const reading = await engine.readState();
		const nowMillis = clock.monotonicMillis();
		if (!reading.ok || !isWaiting(reading.value)) {
			lastChange = undefined;
		} else if (!lastChange || !isUnchanged(lastChange.state, reading.value)) {
			lastChange = {state: reading.value, sinceMillis: nowMillis};
		} else if (nowMillis - lastChange.sinceMillis >= chooseStallMillis(reading.value)) {
			const ranks = readRanks();
			const isEnded = ranks && await recoverSwitch({
				ranks, clock, log, readExperts: async withPlanner => readGroupExperts(ranks, withPlanner),
			}, signal);
			log.info('looked for a switch left behind', {
				epoch: reading.value.group.epoch, step: reading.value.step, armedVersion: reading.value.armed?.version, isReadable: isEnded === true,
			});
			lastChange = undefined;
		}

		await clock.sleep(WATCH_INTERVAL_MILLIS, signal);
	}
	/* eslint-enable no-await-in-loop */
}
