import {succeed, type Result} from '../core/result.js';
import type {
	OrderOutcome, RankEngine, RankOrder, RankReadError, RankState,
} from '../ports/rank-engine.js';

/** Access to all ranks of a group, in rank order. Rank 0 is the anchor, which holds the group before a switch. */
export type GroupRanks = readonly RankEngine[];

/** States of all ranks of one open group in one epoch, in rank order. */
export type GroupState = Readonly<{epoch: number; ranks: readonly RankState[]}>;

/** Why the state of a group is not known or not fit for orders. */
export type GroupStateError
	= | Readonly<{tag: 'unavailable'; rank: number; detail: string}>
	/** The group is broken, or its ranks are not in one epoch. */
		| Readonly<{tag: 'not_formed'; rank: number}>;

/** Puts the states of all ranks together, if they are of one open group in one epoch. */
function joinStates(readings: ReadonlyArray<Result<RankState, RankReadError>>): GroupState | GroupStateError {
	const states: RankState[] = [];
	for (const [rank, reading] of readings.entries()) {
		if (!reading.ok) {
			return {tag: 'unavailable', rank, detail: reading.error.detail};
		}

		const {group} = reading.value;
		if (!group.isOpen || group.rank !== rank || group.epoch !== (states[0]?.group.epoch ?? group.epoch)) {
			return {tag: 'not_formed', rank};
		}

		states.push(reading.value);
	}

	return {epoch: states[0]?.group.epoch ?? 0, ranks: states};
}

/** Reads all ranks at once. */
export async function readGroupState(ranks: GroupRanks): Promise<GroupState | GroupStateError> {
	return joinStates(await Promise.all(ranks.map(async rank => rank.readState())));
}

/** Reads all ranks at once, with the counts of each. */
export async function readGroupLoad(ranks: GroupRanks): Promise<Readonly<{state: GroupState | GroupStateError; counts: ReadonlyArray<readonly number[]>}>> {
	const loads = await Promise.all(ranks.map(async rank => rank.readLoad()));
	return {
		state: joinStates(loads.map(load => load.ok ? succeed(load.value.state) : load)),
		counts: loads.map(load => load.ok ? load.value.counts : []),
	};
}

/** Whether a reading is the state of a group. */
export function isGroupState(reading: GroupState | GroupStateError): reading is GroupState {
	return 'epoch' in reading;
}

/** Gives an order to the ranks named, all at once; outcomes are in the order of the names. */
export async function orderRanks(ranks: GroupRanks, named: readonly number[], order: RankOrder, epoch: number): Promise<readonly OrderOutcome[]> {
	return Promise.all(named.map(async rank => {
		const outcome = await ranks[rank]?.order(order, epoch);
		return outcome ?? {tag: 'refused' as const, detail: 'no such rank'};
	}));
}

/** Ranks whose state meets a condition. */
export function listRanks({ranks}: GroupState, condition: (state: RankState) => boolean): readonly number[] {
	return ranks.flatMap((state, rank) => condition(state) ? [rank] : []);
}
