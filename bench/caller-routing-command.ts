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

/** Sets of accounts over which the small installations are averaged. */
const SMALL_REPEATS = 20;

const sizes: ReadonlyArray<Readonly<{size: CallerRoutingSize; repeats: number}>> = [
	{
		repeats: SMALL_REPEATS, size: {
			name: '6-entries', entries: 6, domains: 3, accounts: 10, largeAccounts: 3, largeShare: 0.7,
		},
	},
	{
		repeats: SMALL_REPEATS, size: {
			name: '7-entries', entries: 7, domains: 3, accounts: 10, largeAccounts: 3, largeShare: 0.7,
		},
	},
	{
		repeats: 1, size: {
			name: '350-entries', entries: 350, domains: 7, accounts: 6000, largeAccounts: 20, largeShare: 0.3,
		},
	},
];

/** Figures of one policy at one size; each is a mean over sets of accounts, `allUpWorst` the largest. */
type CallerRoutingFigures = Readonly<{
	size: string;
	name: string;
	allUp: number;
	allUpWorst: number;
	/** One entry is gone and callers still hold the answers that name it. */
	entryGoneCached: number;
	/** One entry leaves and callers have asked again. */
	entryLeft: number;
	/** A failure domain is gone and callers still hold the old answers. */
	domainLostCached: number;
	domainLost: number;
	/** Share of the load that has no address left while the old answers are held. */
	domainLostUnreachable: number;
	meanAddresses: number;
}>;

type OneFigures = Omit<CallerRoutingFigures, 'size' | 'name' | 'allUpWorst'>;

type EntrySets = Readonly<{entries: readonly Instance[]; withoutEntry: readonly Instance[]; withoutDomain: readonly Instance[]}>;

function createEntrySets(size: CallerRoutingSize): EntrySets {
	const entries = createEntries(size);
	return {
		entries,
		withoutEntry: entries.slice(1),
		withoutDomain: entries.filter(entry => entry.failureDomain !== 'domain-0'),
	};
}

function measureOne({entries, withoutEntry, withoutDomain}: EntrySets, accounts: readonly ModelAccount[], policy: AddressPolicy): OneFigures {
	const answers = chooseUntilSettled(policy, accounts, entries);
	return {
		allUp: computePeakOverMean(answers, accounts, entries),
		entryGoneCached: computePeakOverMean(answers, accounts, withoutEntry),
		entryLeft: computePeakOverMean(chooseAddressesForAll(policy, accounts, withoutEntry), accounts, withoutEntry),
		domainLostCached: computePeakOverMean(answers, accounts, withoutDomain),
		domainLost: computePeakOverMean(chooseAddressesForAll(policy, accounts, withoutDomain), accounts, withoutDomain),
		domainLostUnreachable: computeUnreachableShare(answers, accounts, withoutDomain),
		meanAddresses: round(mean([...answers.values()].map(addresses => addresses.length))),
	};
}

function measure(size: CallerRoutingSize, sets: EntrySets, createPolicy: () => AddressPolicy, seeds: readonly number[]): CallerRoutingFigures {
	const runs = seeds.map(seed => measureOne(sets, createAccounts(size, seed), createPolicy()));
	const average = (read: (figures: OneFigures) => number) => round(mean(runs.map(run => read(run))), 3);
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

const policies: ReadonlyArray<() => AddressPolicy> = [
	() => createFixedPolicy('one-address', 1),
	() => createFixedPolicy('three-addresses', 3),
	createAdaptivePolicy,
];

/** Measures how evenly callers are spread over the entries. */
export const callerRoutingCommand = defineCommand({
	meta: {name: 'caller-routing', description: 'Share of load per entry over the mean, as callers are told addresses'},
	args: {
		seed: {type: 'string', default: '1', description: 'seed of the accounts'},
	},
	run({args}) {
		const {seed} = readOptions(optionsSchema, args);
		const figures = sizes.flatMap(({size, repeats}) => {
			const seeds = Array.from({length: repeats}, (_, i) => (seed * SMALL_REPEATS) + i);
			const sets = createEntrySets(size);
			return policies.map(createPolicy => {
				const one = measure(size, sets, createPolicy, seeds);
				console.log(JSON.stringify(one));
				return one;
			});
		});
		console.log(JSON.stringify({seed, policies: figures}));
	},
});
