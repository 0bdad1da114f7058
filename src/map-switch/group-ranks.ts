import {succeed, type Result} from '../core/result.js';
import type {
	RankEngine, RankLoad, RankReadError, RankState,
} from '../ports/rank-engine.js';

/** Access to all ranks of a group, ordered by rank. */
export type GroupRanks = readonly RankEngine[];

/**
 * States of the ranks of one open group in one epoch, ordered by rank: of all ranks, or of all but the planner's, whose instance
 * may have stopped together with its engine.
 */
export type GroupState = Readonly<{epoch: number; size: number; ranks: readonly RankState[]}>;

/** Why the state of a group is unknown or does not allow orders. */
export type GroupStateError
	= | Readonly<{tag: 'unavailable'; rank: number; detail: string}>
	/** The group is broken, or its ranks are in different epochs. */
		| Readonly<{tag: 'not_formed'; rank: number}>;

/** Rank next to whose engine the group's planner runs. */
export const PLANNER_RANK = 0;

/** Rank that holds the group during a switch: not the planner's, so that the hold can be released if that instance stops. */
export function getAnchorRank(size: number): number {
	return size > 1 ? 1 : PLANNER_RANK;
}

/** Whether the states of all ranks are known. */
export function hasAllRanks({size, ranks}: GroupState): boolean {
	return ranks.length === size;
}

/** Combines the states of the ranks if they belong to one open group in one epoch. */
function joinStates(size: number, readings: ReadonlyArray<readonly [rank: number, Result<RankState, RankReadError>]>): GroupState | GroupStateError {
	const states: RankState[] = [];
	for (const [rank, reading] of readings) {
		if (!reading.ok) {
			return {tag: 'unavailable', rank, detail: reading.error.detail};
		}

		const {group} = reading.value;
		const first = states[0]?.group ?? group;
		if (!group.isOpen || group.rank !== rank || group.epoch !== first.epoch || group.name !== first.name) {
			return {tag: 'not_formed', rank};
		}

		states.push(reading.value);
	}

	return {epoch: states[0]?.group.epoch ?? 0, size, ranks: states};
}

/** Reads all ranks concurrently. */
export async function readGroupState(ranks: GroupRanks): Promise<GroupState | GroupStateError> {
	return joinStates(ranks.length, await Promise.all(ranks.map(async (engine, rank) => [rank, await engine.readState()] as const)));
}

/** Reads all ranks concurrently; if only the planner's cannot be read, or is not to be read, the state is that of the others. */
export async function readGroupStateOfReachable(ranks: GroupRanks, withPlanner: boolean): Promise<GroupState | GroupStateError> {
	const asked = [...ranks.entries()].filter(([rank]) => withPlanner || rank !== PLANNER_RANK);
	const readings = await Promise.all(asked.map(async ([rank, engine]) => [rank, await engine.readState()] as const));
	const isPlannerAway = readings.some(([rank, reading]) => rank === PLANNER_RANK && !reading.ok);
	return joinStates(ranks.length, isPlannerAway ? readings.filter(([rank]) => rank !== PLANNER_RANK) : readings);
}

/** States of all ranks, and the counts of those that were asked for them; empty for the others. */
export type GroupLoad = Readonly<{state: GroupState | GroupStateError; counts: ReadonlyArray<readonly number[]>}>;

async function readWithoutCounts(rank: RankEngine): Promise<Result<RankLoad, RankReadError>> {
	const state = await rank.readState();
	return state.ok ? succeed({state: state.value, counts: []}) : state;
}

/** Reads all ranks concurrently, with the counts of those that `isSampled` names. */
export async function readGroupLoad(ranks: GroupRanks, isSampled: (rank: number) => boolean): Promise<GroupLoad> {
	const loads = await Promise.all(ranks.map(async (engine, rank) => isSampled(rank) ? engine.readLoad() : readWithoutCounts(engine)));
	return {
		state: joinStates(ranks.length, [...loads.entries()].map(([rank, load]) => [rank, load.ok ? succeed(load.value.state) : load])),
		counts: loads.map(load => load.ok ? load.value.counts : []),
	};
}

/** Whether a reading succeeded. */
export function isGroupState(reading: GroupState | GroupStateError): reading is GroupState {
	return 'epoch' in reading;
}

/** Known ranks whose state satisfies a condition. */
export function filterRanks({ranks}: GroupState, condition: (state: RankState) => boolean): readonly number[] {
	return ranks.filter(state => condition(state)).map(({group}) => group.rank);
}

/** Pass that the group's anchor rank holds back; undefined if it holds none. */
export function readHeldStep({ranks, size}: GroupState): number | undefined {
	return ranks.find(({group}) => group.rank === getAnchorRank(size))?.heldStep;
}
