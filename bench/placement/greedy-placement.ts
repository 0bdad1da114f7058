export type GreedyPlacementInput = Readonly<{
	/** Tokens of each expert. */
	loads: readonly number[];
	/** Time per token of each rank. */
	slowFactors: readonly number[];
	slotsPerRank: number;
}>;

type Copy = Readonly<{expert: number; load: number}>;

type Bundle = {readonly experts: Set<number>; time: number; readonly slowFactor: number};

/** Assigns each spare slot to the expert with the highest load per copy. */
function countCopiesByLoad({loads, slowFactors, slotsPerRank}: GreedyPlacementInput): readonly number[] {
	const copies = loads.map(() => 1);
	const spare = (slowFactors.length * slotsPerRank) - loads.length;
	for (let i = 0; i < spare; i++) {
		let hottest = -1;
		for (const [expert, load] of loads.entries()) {
			const canAddCopy = (copies[expert] ?? 0) < slowFactors.length;
			if (canAddCopy && (hottest === -1 || load / (copies[expert] ?? 1) > (loads[hottest] ?? 0) / (copies[hottest] ?? 1))) {
				hottest = expert;
			}
		}

		if (hottest !== -1) {
			copies[hottest] = (copies[hottest] ?? 0) + 1;
		}
	}

	return copies;
}

function listCopies(input: GreedyPlacementInput): readonly Copy[] {
	return countCopiesByLoad(input)
		.flatMap((count, expert) => Array.from({length: count}, () => ({expert, load: (input.loads[expert] ?? 0) / count})))
		.toSorted((left, right) => right.load - left.load);
}

/** Finds the rank that would finish first with the copy added, among those with a free slot that do not hold the expert. */
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

/** Places experts from scratch: highest load per copy first, each on the rank that would finish first with it. */
export function placeGreedily(input: GreedyPlacementInput): ReadonlyArray<ReadonlySet<number>> {
	const bundles = input.slowFactors.map((slowFactor): Bundle => ({experts: new Set(), time: 0, slowFactor}));
	const placedExperts = new Set<number>();
	const unplaced: Copy[] = [];
	for (const copy of listCopies(input)) {
		const bundle = findLeastLoaded(bundles, copy, input.slotsPerRank);
		if (!bundle) {
			unplaced.push(copy);
			continue;
		}

		bundle.experts.add(copy.expert);
		bundle.time += copy.load * bundle.slowFactor;
		placedExperts.add(copy.expert);
	}

	// An additional copy is dropped when every rank with a free slot already holds the expert; the first copy always finds a rank.
	if (unplaced.some(copy => !placedExperts.has(copy.expert))) {
		throw new Error('greedy placement found no free slot for an expert');
	}

	return bundles.map(({experts}) => experts);
}
