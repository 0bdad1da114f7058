/**
 * Chooses how far ahead of the running pass a switch takes effect. The group is held at that pass until all ranks are armed: with too short a
 * lead every stream of the group pauses, with too long a one the old map stays in force. Both follow from what orders have
 * taken lately, which is tens of milliseconds, or several times as much while a part of them is not answered.
 */
import {
	ANSWER_TIMEOUT_DEVIATIONS, MAX_ANSWER_TIMEOUT_MILLIS, MAX_LEAD_STEPS, MIN_ANSWER_TIMEOUT_MILLIS, MIN_LEAD_STEPS, TIMING_DEVIATIONS, TIMING_WEIGHT,
} from './map-switch-constants.js';

/** Moving mean and mean deviation of durations, in milliseconds. */
export type DurationEstimate = Readonly<{
	note: (millis: number) => void;
	/** Mean plus this many mean deviations; undefined before the first duration. */
	read: (deviations: number) => number | undefined;
}>;

/** Creates an estimate without durations. */
export function createDurationEstimate(): DurationEstimate {
	let mean: number | undefined;
	let deviation = 0;

	return {
		note(millis) {
			deviation = mean === undefined ? millis / 2 : deviation + ((Math.abs(millis - mean) - deviation) * TIMING_WEIGHT);
			mean = mean === undefined ? millis : mean + ((millis - mean) * TIMING_WEIGHT);
		},
		read: deviations => mean === undefined ? undefined : mean + (deviations * deviation),
	};
}

/** What the orders and switches of one group have taken lately. */
export type SwitchTiming = Readonly<{
	/** Records the longest time without an answer in a round of orders that all ranks have answered, in milliseconds. */
	noteAnswer: (millis: number) => void;
	/** Records the time from the order to hold a group to its release, in milliseconds. */
	noteSwitch: (millis: number) => void;
	/** Time without an answer after which unanswered orders are sent again, in milliseconds. */
	readAnswerTimeoutMillis: () => number;
	/**
	 * Passes from the last one begun to the one at which the switch takes effect. `answeredMillis` is the time that this switch needed until all
	 * ranks had answered the order to prepare, also by being sent it again, without the time for copying: arming them takes as long.
	 */
	chooseLeadSteps: (passMillis: number | undefined, answeredMillis: number) => number;
}>;

/** Orders to single ranks between hold and release: hold, arm the anchor, arm the planner's rank, release. */
const SINGLE_ORDERS = 4;

/** Creates the timing of a group whose orders have not been measured. */
export function createSwitchTiming(): SwitchTiming {
	const answers = createDurationEstimate();
	const switches = createDurationEstimate();

	function readAnswerTimeoutMillis(): number {
		return Math.min(MAX_ANSWER_TIMEOUT_MILLIS, Math.max(MIN_ANSWER_TIMEOUT_MILLIS, answers.read(ANSWER_TIMEOUT_DEVIATIONS) ?? Infinity));
	}

	return {
		noteAnswer: answers.note,
		noteSwitch: switches.note,
		readAnswerTimeoutMillis,
		chooseLeadSteps(passMillis, answeredMillis) {
			if (passMillis === undefined) {
				return MIN_LEAD_STEPS;
			}

			const usualMillis = switches.read(TIMING_DEVIATIONS) ?? 0;
			const expectedMillis = answeredMillis + (SINGLE_ORDERS * (answers.read(0) ?? 0));
			// The pass after the last one begun may begin at once.
			const steps = 1 + Math.ceil(Math.max(usualMillis, expectedMillis) / passMillis);
			return Math.min(MAX_LEAD_STEPS, Math.max(MIN_LEAD_STEPS, steps));
		},
	};
}
