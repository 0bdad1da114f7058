import {EMPTY_SLOT} from './initial-map.js';
import type {LayerLayout, SlotChange} from './layer-layout.js';

/** Weight of a change that needs no load, in loads. */
const FREE_CHANGE_WEIGHT = 0.25;
/** Least fall of the potential's root that counts as progress. */
const LEAST_PROGRESS = 1e-6;

/** Ranks with the shortest times that a change may put load on. */
const TARGET_RANKS = 16;

/** What the search for a change needs to know besides the layout. */
export type ChangeRules = Readonly<{
	/** How many loads more a slot needs when it gets an expert; may be negative. Infinite when it must not get one. */
	addedWeightLoads: (slot: number, expert: number) => number;
	/** Whether a slot must stay as it is for now. */
	isLocked: (slot: number) => boolean;
	/** Ranks with the shortest times that a change may put load on; {@link TARGET_RANKS} by default. */
	targetRanks?: number;
}>;

/** A change to make next. */
export type FoundChange = Readonly<{
	change: SlotChange;
	/** False when every change makes the layout worse, and this is the one that does so the least. */
	isProgress: boolean;
}>;

/** Rank with the largest time. */
export function findHottestRank(layout: LayerLayout): number {
	let hottest = 0;
	for (let rank = 1; rank < layout.ranks; rank++) {
		if (layout.relativeTime(rank) > layout.relativeTime(hottest)) {
			hottest = rank;
		}
	}

	return hottest;
}

/** Ranks that may take load, those with the shortest times. */
function listTargetRanks(layout: LayerLayout, hottest: number, count: number): readonly number[] {
	return Array.from({length: layout.ranks}, (_, rank) => rank)
		.filter(rank => rank !== hottest)
		.toSorted((left, right) => layout.relativeTime(left) - layout.relativeTime(right))
		.slice(0, count);
}

/**
 * Finds the change that takes most from the hottest rank per load: drops a copy, copies one of its experts into a free
 * or redundant slot of another rank, moves it there, or swaps it.
 */
export function findChange(layout: LayerLayout, rules: ChangeRules): FoundChange | undefined {
	const hottest = findHottestRank(layout);
	const targetRanks = listTargetRanks(layout, hottest, rules.targetRanks ?? TARGET_RANKS);
	const potentialBefore = layout.potential();
	const rootBefore = potentialBefore ** (1 / layout.exponent);
	let best: SlotChange | undefined;
	let bestGain = 0;
	let leastBad: SlotChange | undefined;
	let leastPotential = Number.POSITIVE_INFINITY;

	function consider(slot: number, expert: number, otherSlot: number, otherExpert: number): void {
		const loads = rules.addedWeightLoads(slot, expert) + (otherSlot >= 0 ? rules.addedWeightLoads(otherSlot, otherExpert) : 0);
		if (loads === Infinity) {
			return;
		}

		const after = layout.potentialAfter(slot, expert, otherSlot, otherExpert);
		if (after >= potentialBefore) {
			if (after < leastPotential) {
				leastPotential = after;
				leastBad = {
					slot, expert, otherSlot, otherExpert,
				};
			}

			return;
		}

		const progress = rootBefore - (after ** (1 / layout.exponent));
		const gain = progress / Math.max(FREE_CHANGE_WEIGHT, loads);
		if (progress > LEAST_PROGRESS && gain > bestGain) {
			bestGain = gain;
			best = {
				slot, expert, otherSlot, otherExpert,
			};
		}
	}

	function considerTarget(slot: number, expert: number, target: number): void {
		const occupant = layout.expertAt(target);
		if (rules.isLocked(target)) {
			return;
		}

		if (occupant === EMPTY_SLOT || layout.copiesOf(occupant) > 1) {
			consider(target, expert, -1, EMPTY_SLOT);
		}

		if (rules.isLocked(slot)) {
			return;
		}

		if (occupant === EMPTY_SLOT || layout.copiesOf(occupant) > 1) {
			consider(slot, EMPTY_SLOT, target, expert);
		}

		if (occupant !== EMPTY_SLOT && !layout.isHeld(hottest, occupant)) {
			consider(slot, occupant, target, expert);
		}
	}

	function considerRank(slot: number, expert: number, rank: number): void {
		if (layout.isHeld(rank, expert)) {
			return;
		}

		for (let i = 0; i < layout.slotsPerRank; i++) {
			considerTarget(slot, expert, (rank * layout.slotsPerRank) + i);
		}
	}

	for (let i = 0; i < layout.slotsPerRank; i++) {
		const slot = (hottest * layout.slotsPerRank) + i;
		const expert = layout.expertAt(slot);
		if (expert === EMPTY_SLOT) {
			continue;
		}

		if (!rules.isLocked(slot)) {
			consider(slot, EMPTY_SLOT, -1, EMPTY_SLOT);
		}

		for (const rank of targetRanks) {
			considerRank(slot, expert, rank);
		}
	}

	if (best) {
		return {change: best, isProgress: true};
	}

	return leastBad && {change: leastBad, isProgress: false};
}
