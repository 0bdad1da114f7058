import {fail, succeed, type Result} from '../core/result.js';
import type {Instance} from '../ports/instance-list.js';
import type {ExpertMap} from '../ports/model-engine.js';
import type {Member, RankState} from '../wire/generated/vote.js';

/** Agent of one rank, as given in the instance list. */
export type ListedMember = Readonly<{rank: number; address: string}>;

/** State of a group, merged from the reports of all its agents. */
export type GroupView = Readonly<{
	groupIncarnation: string;
	members: readonly Member[];
	/** State of each rank, in rank order. */
	states: readonly RankState[];
	/** Highest step of any rank. */
	step: number;
	/** Longest time that a rank reports for its part of a step, in milliseconds; 0 when no rank reports one. */
	stepMillis: number;
	map: ExpertMap;
	/** Whether the group has no map yet. */
	isUnmapped: boolean;
}>;

/** Why a group cannot be planned now. */
export type GroupViewError
	= | Readonly<{tag: 'no_members'}>
		| Readonly<{tag: 'rank_missing'; rank: number}>
		| Readonly<{tag: 'rank_twice'; rank: number}>
		| Readonly<{tag: 'rank_silent'; rank: number}>
		| Readonly<{tag: 'mixed_incarnations'}>
		| Readonly<{tag: 'mixed_maps'}>
		| Readonly<{tag: 'vote_pending'}>;

/** Omits a leaving instance when a live one of the same rank is listed. */
function dropReplaced(agents: readonly Instance[]): readonly Instance[] {
	const liveRanks = new Set(agents.filter(({state}) => state === 'live').map(({rank}) => rank));
	return agents.filter(({state, rank}) => state === 'live' || !liveRanks.has(rank));
}

/** Lists the agents of `group` in rank order; every rank from 0 to the highest must be listed exactly once. */
export function listMembers(instances: readonly Instance[], group: string): Result<readonly ListedMember[], GroupViewError> {
	const agents = instances.filter(instance => instance.role === 'agent' && instance.group === group && instance.rank >= 0);
	const members = dropReplaced(agents)
		.map(({rank, linkAddress}) => ({rank, address: linkAddress}))
		.toSorted((left, right) => left.rank - right.rank);
	if (members.length === 0) {
		return fail({tag: 'no_members'});
	}

	const misplaced = members.findIndex(({rank}, i) => rank !== i);
	if (misplaced === -1) {
		return succeed(members);
	}

	const found = members[misplaced]?.rank ?? 0;
	return fail(found < misplaced ? {tag: 'rank_twice', rank: found} : {tag: 'rank_missing', rank: misplaced});
}

function isEmptyMap(map: ExpertMap): boolean {
	return map.layers.every(({slots}) => slots.every(expert => expert < 0));
}

/** Number of ranks that a map is made for; 0 when the map does not specify it. */
function countRanks({layers}: ExpertMap): number {
	const layer = layers[0];
	return layer && layer.slotsPerRank > 0 ? layer.slots.length / layer.slotsPerRank : 0;
}

/** Merges the states of all ranks, given in rank order; undefined stands for a rank that did not answer. */
export function mergeRankStates(
	listed: readonly ListedMember[],
	answers: ReadonlyArray<RankState | undefined>,
): Result<GroupView, GroupViewError> {
	const unansweredRank = answers.indexOf(undefined);
	if (unansweredRank !== -1) {
		return fail({tag: 'rank_silent', rank: unansweredRank});
	}

	const states = answers.filter(state => state !== undefined);
	const first = states[0];
	if (!first) {
		return fail({tag: 'no_members'});
	}

	if (states.some(({groupIncarnation}) => groupIncarnation !== first.groupIncarnation)) {
		return fail({tag: 'mixed_incarnations'});
	}

	if (states.some(({pending}) => pending)) {
		return fail({tag: 'vote_pending'});
	}

	if (states.some(({mapEpoch}) => mapEpoch !== first.mapEpoch)) {
		return fail({tag: 'mixed_maps'});
	}

	const map = first.map ?? {layers: []};
	const mapRanks = countRanks(map);
	if (mapRanks > states.length) {
		return fail({tag: 'rank_missing', rank: states.length});
	}

	return succeed({
		groupIncarnation: first.groupIncarnation,
		members: states.map(({agentId, agentIncarnation}, rank) => ({
			rank, agentId, agentIncarnation, address: listed[rank]?.address ?? '',
		})),
		states,
		step: Math.max(...states.map(({step}) => step)),
		stepMillis: Math.max(0, ...states.map(({stepMillis}) => stepMillis)),
		map,
		isUnmapped: isEmptyMap(map),
	});
}
