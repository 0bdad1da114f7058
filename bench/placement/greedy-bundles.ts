/** What a greedy placement starts from. */
export type GreedyInput = Readonly<{
	/** Tokens of each expert. */
	loads: readonly number[];
	/** Time per token of each rank. */
	slowFactors: readonly number[];
	slotsPerRank: number;
}>;

type Copy = Readonly<{expert: number; load: number}>;

type Bundle = {readonly experts: Set<number>; time: number; readonly slowFactor: number};

/** Gives the spare slots to the experts with the hottest load per copy. */
function countCopiesByLoad({loads, slowFactors, slotsPerRank}: GreedyInput): readonly number[] {
	const copies = loads.map(() => 1);
	const spare = (slowFactors.length * slotsPerRank) - loads.length;
	for (let i = 0; i < spare; i++) {
		let hottest = -1;
		for (const [expert, load] of loads.entries()) {
			const isOpen = (copies[expert] ?? 0) < slowFactors.length;
			if (isOpen && (hottest === -1 || load / (copies[expert] ?? 1) > (loads[hottest] ?? 0) / (copies[hottest] ?? 1))) {
				hottest = expert;
			}
		}

		if (hottest !== -1) {
			copies[hottest] = (copies[hottest] ?? 0) + 1;
		}
	}

	return copies;
}

function listCopies(input: GreedyInput): readonly Copy[] {
	return countCopiesByLoad(input)
		.flatMap((count, expert) => Array.from({length: count}, () => ({expert, load: (input.loads[expert] ?? 0) / count})))
		.toSorted((left, right) => right.load - left.load);
}

/** Rank that is done first with the copy on top, among those with room that do not hold the expert. */
function findLeastLoaded(bundles: readonly Bundle[], copy: Copy, slotsPerRank: number): Bundle | undefined {
	let best: Bundle | undefined;
	let bestTime = Number.POSITIVE_INFINITY;
	for (const bundle of bundles) {
		const time = bundle.time + (copy.load * bundle.slowFactor);
		if (bundle.experts.size < slotsPerRank && !bundle.experts.has(copy.expert) && time < bestTime) {
			best = bundle;
			bestTime = time;
		}
	}

	return best;
}

/** Places experts from scratch: largest load per copy first, each on the rank that is done with it first. */
export function placeGreedily(input: GreedyInput): ReadonlyArray<ReadonlySet<number>> {
	const bundles = input.slowFactors.map((slowFactor): Bundle => ({experts: new Set(), time: 0, slowFactor}));
	const placed = new Set<number>();
	const left: Copy[] = [];
	for (const copy of listCopies(input)) {
		const bundle = findLeastLoaded(bundles, copy, input.slotsPerRank);
		if (!bundle) {
			left.push(copy);
			continue;
		}

		bundle.experts.add(copy.expert);
		bundle.time += copy.load * bundle.slowFactor;
		placed.add(copy.expert);
	}

	// A further copy that finds no rank without its expert is left out; a first copy always finds one.
	if (left.some(copy => !placed.has(copy.expert))) {
		throw new Error('an expert found no slot');
	}

	return bundles.map(({experts}) => experts);
}
