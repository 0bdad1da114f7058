/**
 * Answers the loss of one engine of a rank group where a service has several: all engines of the group stall and refuse, naming
 * the one at fault, and each process would have to learn that of each engine. One such refusal speaks for the group.
 */
import {GROUP_REFUSAL_TTL_MILLIS} from './flow-constants.js';

/** A group in one epoch; a group that forms anew is another one. */
export type GroupEpoch = Readonly<{name: string; epoch: number}>;

/** Groups that have refused lately. */
export type GroupRefusals = Readonly<{
	note: (group: GroupEpoch, nowMillis: number) => void;
	/** Leaves out those of groups that refuse, unless all do. */
	excludeRefusing: <T extends Readonly<{group: GroupEpoch | undefined}>>(candidates: readonly T[], nowMillis: number) => readonly T[];
}>;

/** Creates a record that knows no refusals. */
export function createGroupRefusals(): GroupRefusals {
	const refusedAt = new Map<string, Readonly<{epoch: number; atMillis: number}>>();

	function isRefusing(group: GroupEpoch | undefined, nowMillis: number): boolean {
		const refused = group && refusedAt.get(group.name);
		return refused !== undefined && refused.epoch === group?.epoch && nowMillis - refused.atMillis < GROUP_REFUSAL_TTL_MILLIS;
	}

	return {
		note({name, epoch}, nowMillis) {
			refusedAt.set(name, {epoch, atMillis: nowMillis});
		},
		excludeRefusing(candidates, nowMillis) {
			const left = candidates.filter(({group}) => !isRefusing(group, nowMillis));
			return left.length > 0 ? left : candidates;
		},
	};
}
