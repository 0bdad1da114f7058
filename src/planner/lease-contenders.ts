import {sha256Hex} from '../core/digest.js';
import type {InstanceId} from '../core/ids.js';
import type {Instance} from '../ports/instance-list.js';
import {MAX_CONTENDERS} from './planner-constants.js';

/**
 * Whether an entry contends for the lease of a group: a few live entries do, chosen by rendezvous hash, so that the
 * reads of the table service do not grow with the number of entries. All do while no entry is listed.
 */
export function isLeaseContender(instances: readonly Instance[], group: string, self: InstanceId): boolean {
	const contenders = instances
		.filter(({role, state}) => role === 'entry' && state === 'live')
		.map(({id}) => ({id, score: sha256Hex(group, '/', id)}))
		.toSorted((left, right) => left.score < right.score ? -1 : 1)
		.slice(0, MAX_CONTENDERS);
	return contenders.length === 0 || contenders.some(({id}) => id === self);
}
