/**
 * Handles the loss of one engine of a rank group: all engines of the group stall and refuse, naming the faulty one. One such refusal counts for
 * the whole group, so that a process need not learn it from each engine. Where the service has other groups, requests go there; where it has
 * none, they wait, while single ones try whether the group accepts requests again.
 */
import {GROUP_PROBE_INTERVAL_MILLIS, GROUP_REFUSAL_TTL_MILLIS, MAX_OUTAGE_WAITED_FOR_MILLIS} from './flow-constants.js';

/** A group in one epoch; a group that has formed again is a different one. */
export type GroupEpoch = Readonly<{name: string; epoch: number}>;

/** Refusals of a group in one epoch: times of the first and the last one, and of the last request that was sent to try the group. */
type Refusal = Readonly<{epoch: number; sinceMillis: number; atMillis: number; triedAtMillis: number}>;

/** Groups that have refused recently. */
export type GroupRefusals = Readonly<{
	note: (group: GroupEpoch, nowMillis: number) => void;
	/** Takes an event of a group as a sign that it runs again. */
	noteServed: (group: GroupEpoch) => void;
	/** Excludes candidates whose group refuses, unless all groups do. */
	excludeRefusing: <T extends Readonly<{group: GroupEpoch | undefined}>>(candidates: readonly T[], nowMillis: number) => readonly T[];
	/** Whether a request may be sent to one of the candidates now. While the groups of all of them refuse, only one now and then may, to try them. */
	tryAdmit: (candidates: ReadonlyArray<Readonly<{group: GroupEpoch | undefined}>>, nowMillis: number) => boolean;
}>;

/** Creates a record without refusals. */
export function createGroupRefusals(): GroupRefusals {
	const refusals = new Map<string, Refusal>();

	function readRefusal(group: GroupEpoch | undefined): Refusal | undefined {
		const refusal = group && refusals.get(group.name);
		return refusal?.epoch === group?.epoch ? refusal : undefined;
	}

	function isRefusing(group: GroupEpoch | undefined, nowMillis: number): boolean {
		const refusal = readRefusal(group);
		return refusal !== undefined && nowMillis - refusal.atMillis < GROUP_REFUSAL_TTL_MILLIS;
	}

	return {
		note(group, nowMillis) {
			const known = readRefusal(group);
			refusals.set(group.name, {
				epoch: group.epoch, sinceMillis: known?.sinceMillis ?? nowMillis, atMillis: nowMillis, triedAtMillis: nowMillis,
			});
		},
		noteServed(group) {
			if (readRefusal(group)) {
				refusals.delete(group.name);
			}
		},
		excludeRefusing(candidates, nowMillis) {
			const accepting = candidates.filter(({group}) => !isRefusing(group, nowMillis));
			return accepting.length > 0 ? accepting : candidates;
		},
		tryAdmit(candidates, nowMillis) {
			const groups = new Map(candidates.map(({group}) => [group?.name, group]));
			const isRefused = (group: GroupEpoch | undefined) => nowMillis - (readRefusal(group)?.sinceMillis ?? -Infinity) < MAX_OUTAGE_WAITED_FOR_MILLIS;
			if (![...groups.values()].every(group => isRefused(group))) {
				return true;
			}

			for (const [name, refusal] of refusals) {
				if (groups.has(name) && nowMillis - refusal.triedAtMillis >= GROUP_PROBE_INTERVAL_MILLIS) {
					refusals.set(name, {...refusal, triedAtMillis: nowMillis});
					return true;
				}
			}

			return groups.size === 0;
		},
	};
}
