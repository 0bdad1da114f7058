import type {InstanceId} from '../core/ids.js';

/** A backend server as its own entry in the platform's list describes it. */
export type BackendServer = Readonly<{
	id: InstanceId;
	/** Time of its start, in milliseconds since 1970; tells two incarnations under one id apart. */
	incarnation: number;
	service: string;
	/** `IP:port`. */
	address: string;
	failureDomain: string;
	/** Requests that it works on at once. */
	slots: number;
	state: 'ready' | 'draining';
	/** How much longer it is slow after its start, in milliseconds. */
	coldLeftMillis: number;
	/** Counts what the backend server wrote about itself since its start. */
	sequence: number;
	/** Rank group that it belongs to; undefined where there is none. */
	group: RankGroupMembership | undefined;
}>;

/** Place of an engine in its rank group. */
export type RankGroupMembership = Readonly<{
	name: string;
	rank: number;
	/** Ranks of the group. */
	size: number;
	/** Grows each time the group forms anew. */
	epoch: number;
	isOpen: boolean;
}>;
