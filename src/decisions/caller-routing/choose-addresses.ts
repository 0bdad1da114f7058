import type {AccountName} from '../../core/ids.js';
import type {Instance} from '../../ports/instance-list.js';
import type {RandomSource} from '../random.js';
import {spreadOverDomains, rankNodes} from './rendezvous.js';

/** Share of the lifetime by which an answer may end earlier, so that callers do not ask again in step. */
const LIFETIME_JITTER = 0.2;

/** One address that a caller may use. */
export type CallerAddress = Readonly<{instanceId: string; failureDomain: string; callerUrl: string}>;

/** Addresses for a caller, best first. The caller spreads its calls over them and keeps them for the lifetime. */
export type AddressAnswer = Readonly<{
	addresses: readonly CallerAddress[];
	lifetimeMillis: number;
}>;

/** How an answer is made. */
export type AddressOptions = Readonly<{
	/** Number of addresses wanted; fewer are given when fewer are live. */
	count: number;
	/** Longest time an answer may be kept. */
	lifetimeMillis: number;
	random: RandomSource;
}>;

/**
 * Chooses the addresses of an account: a subset of the live entries that is the same wherever it is asked for, spread over
 * failure domains. Leaving entries are left out. Empty when no entry is live.
 */
export function chooseAddresses(account: AccountName, instances: readonly Instance[], options: AddressOptions): AddressAnswer {
	const live = instances.filter(instance => instance.role === 'entry' && instance.state === 'live');
	const chosen = spreadOverDomains(rankNodes(account, live), options.count);
	return {
		addresses: chosen.map(({id, failureDomain, callerUrl}) => ({instanceId: id, failureDomain, callerUrl})),
		lifetimeMillis: Math.round(options.lifetimeMillis * (1 - (options.random() * LIFETIME_JITTER))),
	};
}
