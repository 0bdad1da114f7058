import {defineCommand} from 'citty';
import {z} from 'zod';
import type {Instance} from '../src/ports/instance-list.js';
import {
	chooseAddressesForAll,
	computePeakOverMean,
	computeUnreachableShare,
	createAccounts,
	createEntries,
	createFixedPolicy,
	createAdaptivePolicy,
	chooseUntilSettled,
	type AddressPolicy,
	type CallerRoutingSize,
	type ModelAccount,
} from './load/caller-routing-model.js';
import {mean, round} from './load/distributions.js';
import {readOptions} from './options.js';

const optionsSchema = z.object({seed: z.coerce.number().int()});

/** Number of account sets over which the figures of the small installations are averaged. */
const SMALL_INSTALLATION_ACCOUNT_SETS = 20;

const installationSizes: ReadonlyArray<Readonly<{size: CallerRoutingSize; accountSets: number}>> = [
	{
		accountSets: SMALL_INSTALLATION_ACCOUNT_SETS, size: {
			name: '6-entries', entries: 6, domains: 3, accounts: 10, largeAccounts: 3, largeShare: 0.7,
		},
	},
	{
		accountSets: SMALL_INSTALLATION_ACCOUNT_SETS, size: {
			name: '7-entries', entries: 7, domains: 3, accounts: 10, largeAccounts: 3, largeShare: 0.7,
		},
	},
	{
		accountSets: 1, size: {
			name: '350-entries', entries: 350, domains: 7, accounts: 6000, largeAccounts: 20, largeShare: 0.3,
		},
	},
];

/**
 * Figures of one policy at one installation size. Each is a mean over the account sets, except `allUpWorst`, the largest
 * `allUp`. Unless stated otherwise, a figure is the largest share of the load at one entry, divided by the mean share.
 */
type CallerRoutingFigures = Readonly<{
	size: string;
	name: string;
	/** All entries are up. */
	allUp: number;
	allUpWorst: number;
	/** One entry has failed, and callers still use cached answers that name it. */
	entryGoneCached: number;
	/** One entry has left, and callers have new answers. */
	entryLeft: number;
	/** A failure domain has failed, and callers still use cached answers. */
	domainLostCached: number;
	/** A failure domain has failed, and callers have new answers. */
	domainLost: number;
	/** Share of the load without a usable address in the cached answers after the failure of a failure domain. */
	domainLostUnreachable: number;
	/** Mean number of addresses given to an account while all entries are up. */
	meanAddresses: number;
}>;

type AccountSetFigures = Omit<CallerRoutingFigures, 'size' | 'name' | 'allUpWorst'>;

type EntrySets = Readonly<{entries: readonly Instance[]; withoutEntry: readonly Instance[]; withoutDomain: readonly Instance[]}>;

function createEntrySets(size: CallerRoutingSize): EntrySets {
	const entries = createEntries(size);
	return {
		entries,
		withoutEntry: entries.slice(1),
		withoutDomain: entries.filter(entry => entry.failureDomain !== 'domain-0'),
	};
}

function measureAccountSet({entries, withoutEntry, withoutDomain}: EntrySets, accounts: readonly ModelAccount[], policy: AddressPolicy): AccountSetFigures {
	const addressesByAccount = chooseUntilSettled(policy, accounts, entries);
	return {
		allUp: computePeakOverMean(addressesByAccount, accounts, entries),
		entryGoneCached: computePeakOverMean(addressesByAccount, accounts, withoutEntry),
		entryLeft: computePeakOverMean(chooseAddressesForAll(policy, accounts, withoutEntry), accounts, withoutEntry),
		domainLostCached: computePeakOverMean(addressesByAccount, accounts, withoutDomain),
		domainLost: computePeakOverMean(chooseAddressesForAll(policy, accounts, withoutDomain), accounts, withoutDomain),
		domainLostUnreachable: computeUnreachableShare(addressesByAccount, accounts, withoutDomain),
		meanAddresses: round(mean([...addressesByAccount.values()].map(addresses => addresses.length))),
	};
}

function measureSize(size: CallerRoutingSize, sets: EntrySets, createPolicy: () => AddressPolicy, seeds: readonly number[]): CallerRoutingFigures {
	const runs = seeds.map(seed => measureAccountSet(sets, createAccounts(size, seed), createPolicy()));
	const average = (read: (figures: AccountSetFigures) => number) => round(mean(runs.map(run => read(run))), 3);
	return {
		size: size.name,
		name: createPolicy().name,
		allUp: average(run => run.allUp),
		allUpWorst: Math.max(...runs.map(run => run.allUp)),
		entryGoneCached: average(run => run.entryGoneCached),
		entryLeft: average(run => run.entryLeft),
		domainLostCached: average(run => run.domainLostCached),
		domainLost: average(run => run.domainLost),
		domainLostUnreachable: average(run => run.domainLostUnreachable),
		meanAddresses: average(run => run.meanAddresses),
	};
}

const policyFactories: ReadonlyArray<() => AddressPolicy> = [
	() => createFixedPolicy('one-address', 1),
	() => createFixedPolicy('three-addresses', 3),
	createAdaptivePolicy,
];

/** Measures how evenly the address policies spread the load of the callers over the entries. */
export const callerRoutingCommand = defineCommand({
	meta: {name: 'caller-routing', description: 'Measures how evenly the address policies spread the load over the entries'},
	args: {
		seed: {type: 'string', default: '1', description: 'Random seed of the accounts'},
	},
	run({args}) {
		const {seed} = readOptions(optionsSchema, args);
		const figures = installationSizes.flatMap(({size, accountSets}) => {
			const seeds = Array.from({length: accountSets}, (_, i) => (seed * SMALL_INSTALLATION_ACCOUNT_SETS) + i);
			const sets = createEntrySets(size);
			return policyFactories.map(createPolicy => {
				const policyFigures = measureSize(size, sets, createPolicy, seeds);
				console.log(JSON.stringify(policyFigures));
				return policyFigures;
			});
		});
		console.log(JSON.stringify({seed, policies: figures}));
	},
});
