import {randomUUID} from 'node:crypto';

/** Id of one request of a caller, the same for all its attempts. */
export type RequestId = string;
/** Id of one attempt to serve a request on one backend server. Never reused. */
export type AttemptId = string;
/** Id of an instance in the instance list. */
export type InstanceId = string;
/** Id of one run of a process; a restart gives it a new one. */
export type Incarnation = string;
/** Name of a client account. */
export type AccountName = string;
/** Version of the configuration; 0 means that none is known yet. */
export type ConfigVersion = number;

/** Creates a unique id for a request, an attempt, an incarnation or a change. */
export function createId(): string {
	return randomUUID();
}
