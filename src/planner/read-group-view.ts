import type {Result} from '../core/result.js';
import type {InstanceList, InstanceListError} from '../ports/instance-list.js';
import {
	mergeRankStates, listMembers, type GroupView, type GroupViewError,
} from './group-view.js';
import type {RankClient} from './rank-client.js';

/** Reads the instance list and asks the agents of all ranks of a group for their state. */
export async function readGroupView(
	instances: InstanceList,
	peers: RankClient,
	group: string,
): Promise<Result<GroupView, GroupViewError | InstanceListError>> {
	const list = await instances.list();
	if (!list.ok) {
		return list;
	}

	const members = listMembers(list.value, group);
	if (!members.ok) {
		return members;
	}

	const answers = await Promise.all(members.value.map(async ({address}) => peers.readRank(address, group)));
	return mergeRankStates(members.value, answers.map(answer => answer.ok ? answer.value : undefined));
}
