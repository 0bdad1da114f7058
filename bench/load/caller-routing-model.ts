import {createManualClock} from '../../src/core/manual-clock.js';
import {createAccountSizes, type AccountSizes} from '../../src/decisions/caller-routing/account-size.js';
import {chooseAddresses} from '../../src/decisions/caller-routing/choose-addresses.js';
import {createSeededRandom} from '../../src/decisions/random.js';
import type {Instance} from '../../src/ports/instance-list.js';
import {mean, round} from './distributions.js';

/** Time for which callers may use an address answer. */
const LIFETIME_MILLIS = 5000;
/** Rounds after which the measured account sizes have settled. */
const SETTLING_ROUND_COUNT = 6;
const ROUND_INTERVAL_MILLIS = 20_000;
/** Requests that all accounts together send in a round. */
const REQUESTS_PER_ROUND = 200_000;

/** Size of a modelled installation. */
export type CallerRoutingSize = Readonly<{name: string; entries: number; domains: number; accounts: number; largeAccounts: number; largeShare: number}>;

/** An account and the share of all requests that it sends. */
export type ModelAccount = Readonly<{name: string; share: number}>;

/** Chooses the addresses that an account is given. */
export type AddressPolicy = Readonly<{
	name: string;
	/** Returns entry ids, most preferred first. */
	choose: (account: string, entries: readonly Instance[]) => readonly string[];
	/** Updates the policy with the requests of one round, counted by account and by the entry that they reached. */
	learn: (requests: ReadonlyMap<string, ReadonlyMap<string, number>>) => void;
}>;

/** Creates the entries of an installation, spread round robin over its failure domains. */
export function createEntries({entries, domains}: CallerRoutingSize): readonly Instance[] {
	return Array.from({length: entries}, (_, i) => ({
		id: `entry-${i}`, role: 'entry', region: 'region', failureDomain: `domain-${i % domains}`, state: 'live', callerUrl: '', linkAddress: '', service: '', group: '', rank: -1,
	}));
}

/** Creates a few large accounts that together send `largeShare`, and others whose shares decrease as 1 / rank. */
export function createAccounts({accounts, largeAccounts, largeShare}: CallerRoutingSize, seed: number): readonly ModelAccount[] {
	const rest = Array.from({length: accounts - largeAccounts}, (_, i) => 1 / (i + 1));
	const total = mean(rest) * rest.length;
	const large = Array.from({length: largeAccounts}, () => largeShare / largeAccounts);
	return [...large, ...rest.map(weight => (weight / total) * (1 - largeShare))].map((share, i) => ({name: `account-${seed}-${i}`, share}));
}

const random = createSeededRandom(1);
const addressOrders = new WeakMap<readonly Instance[], Map<string, readonly string[]>>();

/** All entries in the order in which an account is given them; a shorter answer is a prefix of this list. */
function getAddressOrder(account: string, entries: readonly Instance[]): readonly string[] {
	const cachedOrders = addressOrders.get(entries) ?? new Map<string, readonly string[]>();
	addressOrders.set(entries, cachedOrders);
	const order = cachedOrders.get(account)
		?? chooseAddresses(account, entries, {count: entries.length, lifetimeMillis: LIFETIME_MILLIS, random}).addresses.map(address => address.instanceId);
	cachedOrders.set(account, order);
	return order;
}

/** Creates a policy that gives every account the same number of addresses. */
export function createFixedPolicy(name: string, count: number): AddressPolicy {
	return {
		name,
		choose: (account, entries) => getAddressOrder(account, entries).slice(0, count),
		learn() {
			// The number of addresses does not depend on the load.
		},
	};
}

/**
 * Creates Pollenport's own policy. Each entry measures account sizes from the requests that reach it; the entry at the first
 * address of an account answers its address requests.
 */
export function createAdaptivePolicy(): AddressPolicy {
	const clock = createManualClock();
	const sizes = new Map<string, AccountSizes>();
	const getSizes = (entry: string): AccountSizes => {
		const entrySizes = sizes.get(entry) ?? createAccountSizes(clock);
		sizes.set(entry, entrySizes);
		return entrySizes;
	};

	return {
		name: 'pollenport',
		choose(account, entries) {
			const order = getAddressOrder(account, entries);
			const [first] = order;
			return first === undefined ? [] : order.slice(0, getSizes(first).chooseAddressCount(account, entries.length));
		},
		learn(requests) {
			for (const [account, byEntry] of requests) {
				for (const [entry, count] of byEntry) {
					for (let i = 0; i < count; i++) {
						getSizes(entry).noteRequest(account);
					}
				}
			}

			clock.advance(ROUND_INTERVAL_MILLIS);
		},
	};
}

export type AddressesByAccount = ReadonlyMap<string, readonly string[]>;

export function chooseAddressesForAll(policy: AddressPolicy, accounts: readonly ModelAccount[], entries: readonly Instance[]): AddressesByAccount {
	return new Map(accounts.map(account => [account.name, policy.choose(account.name, entries)]));
}

function countRequests(addressesByAccount: AddressesByAccount, accounts: readonly ModelAccount[]): ReadonlyMap<string, ReadonlyMap<string, number>> {
	return new Map(accounts.map(({name, share}) => {
		const addresses = addressesByAccount.get(name) ?? [];
		const requestsPerAddress = Math.round((share * REQUESTS_PER_ROUND) / Math.max(1, addresses.length));
		return [name, new Map(addresses.map(address => [address, requestsPerAddress]))];
	}));
}

/** Alternates requests and address choices until the measured account sizes have settled. */
export function chooseUntilSettled(policy: AddressPolicy, accounts: readonly ModelAccount[], entries: readonly Instance[]): AddressesByAccount {
	let addressesByAccount = chooseAddressesForAll(policy, accounts, entries);
	for (let i = 0; i < SETTLING_ROUND_COUNT; i++) {
		policy.learn(countRequests(addressesByAccount, accounts));
		addressesByAccount = chooseAddressesForAll(policy, accounts, entries);
	}

	return addressesByAccount;
}

/**
 * Largest share of the load at one of `upEntries`, divided by the mean share. Callers spread their requests evenly over
 * those of their addresses that are up.
 */
export function computePeakOverMean(addressesByAccount: AddressesByAccount, accounts: readonly ModelAccount[], upEntries: readonly Instance[]): number {
	const shares = new Map(upEntries.map(entry => [entry.id, 0]));
	for (const {name, share} of accounts) {
		const usable = (addressesByAccount.get(name) ?? []).filter(address => shares.has(address));
		for (const address of usable) {
			shares.set(address, (shares.get(address) ?? 0) + (share / usable.length));
		}
	}

	return round(Math.max(...shares.values()) / (1 / upEntries.length), 3);
}

/** Share of the load that comes from accounts none of whose addresses is up. */
export function computeUnreachableShare(addressesByAccount: AddressesByAccount, accounts: readonly ModelAccount[], upEntries: readonly Instance[]): number {
	const upIds = new Set(upEntries.map(entry => entry.id));
	let share = 0;
	for (const account of accounts) {
		share += (addressesByAccount.get(account.name) ?? []).some(address => upIds.has(address)) ? 0 : account.share;
	}

	return round(share, 4);
}
