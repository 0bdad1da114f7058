import type {TraceShape} from '../trace/trace-shape.js';
import type {SlowRank} from './compare-policies.js';

/** A generated trace and the group that it is replayed on. */
export type SuiteCase = Readonly<{
	/** Shapes of the tuning set were replayed to choose the constants of the decider; the others were added later. */
	set: 'tuning' | 'held-out';
	shape: TraceShape;
	ranks: number;
	slotsPerRank: number;
	interval: number;
	slowRank: SlowRank | undefined;
}>;

type CaseChoice = Readonly<Partial<TraceShape> & {kind: TraceShape['kind']; ranks: number; slotsPerRank: number; interval?: number; slowRank?: SlowRank}>;

/** Seeds of the held-out traces lie this far from those of the tuning traces. */
const HELD_OUT_SEED_OFFSET = 1000;

const HALF_SPEED: SlowRank = {rank: 3, factor: 2};

const TUNING: readonly CaseChoice[] = [
	{
		kind: 'zipf', exponent: 0.8, ranks: 8, slotsPerRank: 10,
	},
	{
		kind: 'zipf', exponent: 1.2, ranks: 16, slotsPerRank: 6, interval: 20,
	},
	{kind: 'season', ranks: 16, slotsPerRank: 6},
	{
		kind: 'season', ranks: 16, slotsPerRank: 6, interval: 20,
	},
	{
		kind: 'season', exponent: 0.8, ranks: 8, slotsPerRank: 10,
	},
	{
		kind: 'season', experts: 16, ranks: 4, slotsPerRank: 5,
	},
	{kind: 'step', ranks: 16, slotsPerRank: 6},
	{
		kind: 'step', experts: 16, ranks: 4, slotsPerRank: 6,
	},
	{kind: 'burst', ranks: 16, slotsPerRank: 6},
	{
		kind: 'zipf', exponent: 0.8, ranks: 8, slotsPerRank: 10, slowRank: HALF_SPEED,
	},
	{
		kind: 'season', ranks: 16, slotsPerRank: 6, slowRank: HALF_SPEED,
	},
];

const HELD_OUT: readonly CaseChoice[] = [
	{kind: 'zipf', ranks: 16, slotsPerRank: 5},
	{
		kind: 'zipf', exponent: 0.9, experts: 32, ranks: 8, slotsPerRank: 5,
	},
	{
		kind: 'season', exponent: 1.2, ranks: 8, slotsPerRank: 9,
	},
	{
		kind: 'season', exponent: 0.9, experts: 128, ranks: 32, slotsPerRank: 5,
	},
	{
		kind: 'season', ranks: 16, slotsPerRank: 6, interval: 100, seasonSteps: 3000,
	},
	{
		kind: 'step', exponent: 0.8, ranks: 16, slotsPerRank: 6,
	},
	{
		kind: 'step', exponent: 1.2, experts: 32, ranks: 8, slotsPerRank: 6,
	},
	{
		kind: 'burst', exponent: 1.2, ranks: 8, slotsPerRank: 10,
	},
	{
		kind: 'burst', exponent: 0.8, experts: 32, ranks: 8, slotsPerRank: 5,
	},
	{
		kind: 'step', ranks: 16, slotsPerRank: 6, slowRank: HALF_SPEED,
	},
];

const DEFAULT_SHAPE = {
	experts: 64, layers: 2, steps: 1000, tokensPerStep: 65_536, exponent: 1, seasonSteps: 2000,
};

function buildCase(set: SuiteCase['set'], seed: number, choice: CaseChoice): SuiteCase {
	const {
		ranks, slotsPerRank, interval = 50, slowRank, ...shape
	} = choice;
	return {
		set, ranks, slotsPerRank, interval, slowRank, shape: {...DEFAULT_SHAPE, ...shape, seed},
	};
}

/** All cases for a seed. */
export function listSuiteCases(seed: number): readonly SuiteCase[] {
	return [
		...TUNING.map((choice, i) => buildCase('tuning', seed + i, choice)),
		...HELD_OUT.map((choice, i) => buildCase('held-out', seed + HELD_OUT_SEED_OFFSET + i, choice)),
	];
}

/** The group of the largest size: 60 layers of 128 experts on 128 ranks with two spare slots each. */
export function buildLargeCase(seed: number, steps: number): SuiteCase {
	return buildCase('tuning', seed, {
		kind: 'season', experts: 128, layers: 60, steps, tokensPerStep: 1_048_576, ranks: 128, slotsPerRank: 3, interval: 20,
	});
}
