/** Ends a switch whose planner has stopped, as when its instance is frozen: the group would stand still until it goes on. */
import type {Clock} from '../core/clock.js';
import {recoverSwitch} from '../map-switch/recover-switch.js';
import type {GroupRanks} from '../map-switch/group-ranks.js';
import type {Log} from '../observability/log.js';
import type {RankEngine, RankState} from '../ports/rank-engine.js';
import {readGroupExperts} from './read-group-experts.js';
import {STALLED_SWITCH_MILLIS, WATCH_INTERVAL_MILLIS} from './rank-agent-constants.js';

/** What the watch needs. */
export type SwitchWatchDeps = Readonly<{
	clock: Clock;
	log: Log;
	/** The engine beside this agent. */
	engine: RankEngine;
	/** Access to all ranks that does not lead over their agents; undefined while not all are known. */
	readRanks: () => GroupRanks | undefined;
}>;

/** Whether a rank shows the same moment of a switch, or of work that does not go on. */
function isSameMoment(left: RankState, right: RankState): boolean {
	return left.group.epoch === right.group.epoch
		&& left.step === right.step
		&& left.armed?.version === right.armed?.version
		&& left.hasWork === right.hasWork;
}

/** Whether the rank waits for something: a pass that does not begin although there is work, or a map that is not released. */
function isWaiting({group, armed, hasWork}: RankState): boolean {
	return group.isOpen && (armed !== undefined || hasWork);
}

/** Watches until the signal aborts. */
export async function watchForStalledSwitch({clock, log, engine, readRanks}: SwitchWatchDeps, signal: AbortSignal): Promise<void> {
	let before: Readonly<{state: RankState; sinceMillis: number}> | undefined;
	/* eslint-disable no-await-in-loop -- One look after the other. */
	while (!signal.aborted) {
		const reading = await engine.readState();
		const nowMillis = clock.monotonicMillis();
		if (!reading.ok || !isWaiting(reading.value)) {
			before = undefined;
		} else if (!before || !isSameMoment(before.state, reading.value)) {
			before = {state: reading.value, sinceMillis: nowMillis};
		} else if (nowMillis - before.sinceMillis >= STALLED_SWITCH_MILLIS) {
			const ranks = readRanks();
			const isEnded = ranks && await recoverSwitch({
				ranks, clock, log, readExperts: async withPlanner => readGroupExperts(ranks, withPlanner),
			}, signal);
			log.info('looked for a switch left behind', {
				epoch: reading.value.group.epoch, step: reading.value.step, armedVersion: reading.value.armed?.version, isReadable: isEnded === true,
			});
			before = undefined;
		}

		await clock.sleep(WATCH_INTERVAL_MILLIS, signal);
	}
	/* eslint-enable no-await-in-loop */
}
