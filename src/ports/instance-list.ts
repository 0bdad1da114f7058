import type {InstanceId} from '../core/ids.js';
import type {Result} from '../core/result.js';

/** An instance as the platform lists it. The list lags behind the actual state. */
export type Instance = Readonly<{
	id: InstanceId;
	role: 'entry' | 'agent';
	region: string;
	failureDomain: string;
	state: 'live' | 'leaving';
	/** Base URL for callers; empty for agents. */
	callerUrl: string;
	/** `host:port` of the link listener; empty for entries. */
	linkAddress: string;
	/** Service of the backend server; empty for entries. */
	service: string;
	/** Rank group of the backend server; empty where there is none. */
	group: string;
	/** Rank within the group, from 0; -1 where there is none. */
	rank: number;
}>;

/** The list could not be read. */
export type InstanceListError = Readonly<{tag: 'unavailable'; detail: string}>;

/** The platform's instance list. */
export type InstanceList = {
	readonly list: () => Promise<Result<readonly Instance[], InstanceListError>>;
};
