/**
 * Handles the loss of one engine of a rank group where a service has several groups: all engines of the group stall and refuse,
 * naming the faulty one. One such refusal counts for the whole group, so that a process need not learn it from each engine.
 */
import {GROUP_REFUSAL_TTL_MILLIS} from './flow-constants.js';

/** A group in one epoch; a group that has formed again is a different one. */
export type GroupEpoch = Readonly<{name: string; epoch: number}>;

/** Groups that have refused recently. */
export type GroupRefusals = Readonly<{
	note: (group: GroupEpoch, nowMillis: number) => void;
	/** Excludes candidates whose group refuses, unless all groups do. */
	excludeRefusing: <T extends Readonly<{group: GroupEpoch | undefined}>>(candidates: readonly T[], nowMillis: number) => readonly T[];
}>;

/** Creates a record without refusals. */
export function createGroupRefusals(): GroupRefusals {
	const refusals = new Map<string, Readonly<{epoch: number; atMillis: number}>>();

	function isRefusing(group: GroupEpoch | undefined, nowMillis: number): boolean {
		const refused = group && refusals.get(group.name);
		return refused !== undefined && refused.epoch === group?.epoch && nowMillis - refused.atMillis < GROUP_REFUSAL_TTL_MILLIS;
	}

	return {
		note({name, epoch}, nowMillis) {
			refusals.set(name, {epoch, atMillis: nowMillis});
		},
		excludeRefusing(candidates, nowMillis) {
			const accepting = candidates.filter(({group}) => !isRefusing(group, nowMillis));
			return accepting.length > 0 ? accepting : candidates;
		},
	};
}
