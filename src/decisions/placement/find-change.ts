import {EMPTY_SLOT} from './initial-map.js';
import type {LayerLayout, SlotChange} from './layer-layout.js';

/** Lower bound of the weight loads by which a gain is divided, since a change may need none. */
const MIN_CHANGE_WEIGHT_LOADS = 0.25;
/** Minimum decrease of the potential's root that counts as progress. */
const MIN_PROGRESS = 1e-6;

/** Default number of ranks with the shortest times that a change may add load to. */
const DEFAULT_TARGET_RANKS = 16;

/** Rules of the search for a change. */
export type ChangeRules = Readonly<{
	/** Additional weight loads when the slot receives the expert; may be negative. Infinite when the slot must not receive it. */
	addedWeightLoads: (slot: number, expert: number) => number;
	/** Whether a slot must not be changed for now. */
	isLocked: (slot: number) => boolean;
	/** Number of ranks with the shortest times that a change may add load to; {@link DEFAULT_TARGET_RANKS} by default. */
	targetRanks?: number;
}>;

/** The change to apply next. */
export type FoundChange = Readonly<{
	change: SlotChange;
	/** False when every change makes the layout worse and this is the least harmful one. */
	isProgress: boolean;
}>;

/** Ranks by their times: the one with the largest, and those with the shortest, which may receive load. */
function orderRanks({ranks, relativeTime}: LayerLayout, targets: number): Readonly<{hottest: number; targetRanks: readonly number[]}> {
	// Each time is computed once, as sorting reads it many times.
	const times = Float64Array.from({length: ranks}, (_, rank) => relativeTime(rank));
	const hottest = times.indexOf(Math.max(...times));
	return {
		hottest,
		targetRanks: [...times.keys()]
			.filter(rank => rank !== hottest)
			.toSorted((left, right) => (times[left] ?? 0) - (times[right] ?? 0))
			.slice(0, targets),
	};
}

/**
 * Finds the change of the hottest rank with the largest gain per weight load: drops a copy, copies one of its experts into a
 * free or redundant slot of another rank, moves it there, or swaps it.
 */
export function findChange(layout: LayerLayout, rules: ChangeRules): FoundChange | undefined {
	const {hottest, targetRanks} = orderRanks(layout, rules.targetRanks ?? DEFAULT_TARGET_RANKS);
	const potentialBefore = layout.potential();
	const rootBefore = potentialBefore ** (1 / layout.exponent);
	let best: SlotChange | undefined;
	let bestGain = 0;
	let leastWorse: SlotChange | undefined;
	let minWorsePotential = Number.POSITIVE_INFINITY;

	function evaluate(slot: number, expert: number, otherSlot: number, otherExpert: number): void {
		const weightLoads = rules.addedWeightLoads(slot, expert) + (otherSlot >= 0 ? rules.addedWeightLoads(otherSlot, otherExpert) : 0);
		if (weightLoads === Infinity) {
			return;
		}

		const after = layout.potentialAfter(slot, expert, otherSlot, otherExpert);
		if (after >= potentialBefore) {
			if (after < minWorsePotential) {
				minWorsePotential = after;
				leastWorse = {
					slot, expert, otherSlot, otherExpert,
				};
			}

			return;
		}

		const progress = rootBefore - (after ** (1 / layout.exponent));
		const gain = progress / Math.max(MIN_CHANGE_WEIGHT_LOADS, weightLoads);
		if (progress > MIN_PROGRESS && gain > bestGain) {
			bestGain = gain;
			best = {
				slot, expert, otherSlot, otherExpert,
			};
		}
	}

	function evaluateTarget(slot: number, expert: number, target: number): void {
		const occupant = layout.expertAt(target);
		if (rules.isLocked(target)) {
			return;
		}

		if (occupant === EMPTY_SLOT || layout.copiesOf(occupant) > 1) {
			evaluate(target, expert, -1, EMPTY_SLOT);
		}

		if (rules.isLocked(slot)) {
			return;
		}

		if (occupant === EMPTY_SLOT || layout.copiesOf(occupant) > 1) {
			evaluate(slot, EMPTY_SLOT, target, expert);
		}

		if (occupant !== EMPTY_SLOT && !layout.isHeld(hottest, occupant)) {
			evaluate(slot, occupant, target, expert);
		}
	}

	function evaluateRank(slot: number, expert: number, rank: number): void {
		if (layout.isHeld(rank, expert)) {
			return;
		}

		for (let i = 0; i < layout.slotsPerRank; i++) {
			evaluateTarget(slot, expert, (rank * layout.slotsPerRank) + i);
		}
	}

	for (let i = 0; i < layout.slotsPerRank; i++) {
		const slot = (hottest * layout.slotsPerRank) + i;
		const expert = layout.expertAt(slot);
		if (expert === EMPTY_SLOT) {
			continue;
		}

		if (!rules.isLocked(slot)) {
			evaluate(slot, EMPTY_SLOT, -1, EMPTY_SLOT);
		}

		for (const rank of targetRanks) {
			evaluateRank(slot, expert, rank);
		}
	}

	if (best) {
		return {change: best, isProgress: true};
	}

	return leastWorse && {change: leastWorse, isProgress: false};
}
