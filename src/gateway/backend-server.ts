import type {InstanceId} from '../core/ids.js';

/** A backend server as described by its own entry in the platform's list. */
export type BackendServer = Readonly<{
	id: InstanceId;
	/** Start time in milliseconds since 1970; distinguishes incarnations with the same id. */
	incarnation: number;
	service: string;
	/** `IP:port`. */
	address: string;
	failureDomain: string;
	/** Number of requests that it processes concurrently. */
	slots: number;
	state: 'ready' | 'draining';
	/** Remaining warm-up time during which it is slow, in milliseconds. */
	coldLeftMillis: number;
	/** Number of entries that the backend server has written since its start. */
	sequence: number;
	/** Its rank group and rank; undefined if it belongs to no group. */
	group: RankGroupMembership | undefined;
}>;

/** An engine's rank in its rank group, and the state of the group. */
export type RankGroupMembership = Readonly<{
	name: string;
	rank: number;
	/** Number of ranks in the group. */
	size: number;
	/** Incremented each time the group re-forms. */
	epoch: number;
	isOpen: boolean;
}>;
