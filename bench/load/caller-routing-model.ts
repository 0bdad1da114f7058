import {createManualClock} from '../../src/core/manual-clock.js';
import {createAccountSizes, type AccountSizes} from '../../src/decisions/caller-routing/account-size.js';
import {chooseAddresses} from '../../src/decisions/caller-routing/choose-addresses.js';
import {createSeededRandom} from '../../src/decisions/random.js';
import type {Instance} from '../../src/ports/instance-list.js';
import {mean, round} from './distributions.js';

/** Lifetime of an answer. */
const LIFETIME_MILLIS = 5000;
/** Rounds of asking after which the learnt sizes have settled. */
const ROUNDS = 6;
/** Time between two rounds. */
const ROUND_MILLIS = 20_000;
/** Requests that the model sends in a round. */
const ROUND_REQUESTS = 200_000;

/** Size of a modelled installation. */
export type CallerRoutingSize = Readonly<{name: string; entries: number; domains: number; accounts: number; largeAccounts: number; largeShare: number}>;

/** An account and the share of all requests that it sends. */
export type ModelAccount = Readonly<{name: string; share: number}>;

/** Which addresses an account gets, asked at one of the entries. */
export type AddressPolicy = Readonly<{
	name: string;
	/** Entry ids, best first. */
	choose: (account: string, entries: readonly Instance[]) => readonly string[];
	/** Learns from the requests of one round, given by account and the entry they reached. */
	learn: (requests: ReadonlyMap<string, ReadonlyMap<string, number>>) => void;
}>;

/** The entries of an installation, numbered round robin over its failure domains. */
export function createEntries({entries, domains}: CallerRoutingSize): readonly Instance[] {
	return Array.from({length: entries}, (_, i) => ({
		id: `entry-${i}`, role: 'entry', region: 'region', failureDomain: `domain-${i % domains}`, state: 'live', callerUrl: '', linkAddress: '', service: '', group: '', rank: -1,
	}));
}

/** The accounts: a few large ones that send `largeShare` together, and others that fall off as 1 / rank. */
export function createAccounts({accounts, largeAccounts, largeShare}: CallerRoutingSize, seed: number): readonly ModelAccount[] {
	const rest = Array.from({length: accounts - largeAccounts}, (_, i) => 1 / (i + 1));
	const total = mean(rest) * rest.length;
	const large = Array.from({length: largeAccounts}, () => largeShare / largeAccounts);
	return [...large, ...rest.map(weight => (weight / total) * (1 - largeShare))].map((share, i) => ({name: `account-${seed}-${i}`, share}));
}

const random = createSeededRandom(1);
const orders = new WeakMap<readonly Instance[], Map<string, readonly string[]>>();

/** All entries in the order in which an account is given them; a shorter answer is the start of it. */
function readOrder(account: string, entries: readonly Instance[]): readonly string[] {
	const known = orders.get(entries) ?? new Map<string, readonly string[]>();
	orders.set(entries, known);
	const order = known.get(account)
		?? chooseAddresses(account, entries, {count: entries.length, lifetimeMillis: LIFETIME_MILLIS, random}).addresses.map(address => address.instanceId);
	known.set(account, order);
	return order;
}

/** Every account gets the same number of addresses. */
export function createFixedPolicy(name: string, count: number): AddressPolicy {
	return {
		name,
		choose: (account, entries) => readOrder(account, entries).slice(0, count),
		learn() {
			// The number is fixed.
		},
	};
}

/** The product's own choice; each entry learns sizes from the requests that reach it, and the first address answers. */
export function createLearntPolicy(): AddressPolicy {
	const clock = createManualClock();
	const sizes = new Map<string, AccountSizes>();
	const readSizes = (entry: string): AccountSizes => {
		const known = sizes.get(entry) ?? createAccountSizes(clock);
		sizes.set(entry, known);
		return known;
	};

	return {
		name: 'pollenport',
		choose(account, entries) {
			const order = readOrder(account, entries);
			const [first] = order;
			return first === undefined ? [] : order.slice(0, readSizes(first).chooseAddressCount(account, entries.length));
		},
		learn(requests) {
			for (const [account, byEntry] of requests) {
				for (const [entry, count] of byEntry) {
					for (let i = 0; i < count; i++) {
						readSizes(entry).noteRequest(account);
					}
				}
			}

			clock.advance(ROUND_MILLIS);
		},
	};
}

/** Addresses of every account. */
export type Answers = ReadonlyMap<string, readonly string[]>;

/** Asks for every account. */
export function askAll(policy: AddressPolicy, accounts: readonly ModelAccount[], entries: readonly Instance[]): Answers {
	return new Map(accounts.map(account => [account.name, policy.choose(account.name, entries)]));
}

function countRequests(answers: Answers, accounts: readonly ModelAccount[]): ReadonlyMap<string, ReadonlyMap<string, number>> {
	return new Map(accounts.map(({name, share}) => {
		const addresses = answers.get(name) ?? [];
		const each = Math.round((share * ROUND_REQUESTS) / Math.max(1, addresses.length));
		return [name, new Map(addresses.map(address => [address, each]))];
	}));
}

/** Asks again and again until the learnt sizes have settled. */
export function settle(policy: AddressPolicy, accounts: readonly ModelAccount[], entries: readonly Instance[]): Answers {
	let answers = askAll(policy, accounts, entries);
	for (let i = 0; i < ROUNDS; i++) {
		policy.learn(countRequests(answers, accounts));
		answers = askAll(policy, accounts, entries);
	}

	return answers;
}

/**
 * Largest share of the load at one of the `up` entries over the mean. Callers spread their requests over their addresses, and
 * over those that are up when others do not answer.
 */
export function computePeakOverMean(answers: Answers, accounts: readonly ModelAccount[], up: readonly Instance[]): number {
	const shares = new Map(up.map(entry => [entry.id, 0]));
	for (const {name, share} of accounts) {
		const usable = (answers.get(name) ?? []).filter(address => shares.has(address));
		for (const address of usable) {
			shares.set(address, (shares.get(address) ?? 0) + (share / usable.length));
		}
	}

	return round(Math.max(...shares.values()) / (1 / up.length), 3);
}

/** Share of the load of the accounts that are left without any address that is up. */
export function computeUnreachableShare(answers: Answers, accounts: readonly ModelAccount[], up: readonly Instance[]): number {
	const ids = new Set(up.map(entry => entry.id));
	let share = 0;
	for (const account of accounts) {
		share += (answers.get(account.name) ?? []).some(address => ids.has(address)) ? 0 : account.share;
	}

	return round(share, 4);
}
