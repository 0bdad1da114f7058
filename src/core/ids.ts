import {randomUUID} from 'node:crypto';

/** Id of one request of a caller, the same over all its attempts. */
export type RequestId = string;
/** Id of one attempt to serve a request at one backend server. Never reused. */
export type AttemptId = string;
/** Id of an instance, as the instance list knows it. */
export type InstanceId = string;
/** Names one run of a process; a restarted process has another one. */
export type Incarnation = string;
/** Name of a client account. */
export type AccountName = string;
/** Version of the configuration; 0 means that none is known yet. */
export type ConfigVersion = number;

/** A fresh id for a request, an attempt, an incarnation or a change. */
export function createId(): string {
	return randomUUID();
}
