import {EMPTY_SLOT} from './initial-map.js';
import {
	createLayerLayout, POTENTIAL_EXPONENT, type LayerLayout, type SlotChange,
} from './layer-layout.js';
import type {LayerPlan, LayerState, PlanTerms} from './placement-types.js';

/** Weight of a change that needs no load, in loads. */
const FREE_CHANGE_WEIGHT = 0.25;
/** Changes made in a row without a better plan before the search ends. */
const PATIENCE = 12;
/** Largest number of changes per slot that one search makes. */
const CHANGES_PER_SLOT = 4;
/** Least fall of the potential's root that counts as progress. */
const LEAST_PROGRESS = 1e-6;

type Candidate = Readonly<{change: SlotChange; gain: number}>;

function findHottestRank(layout: LayerLayout): number {
	let hottest = 0;
	for (let rank = 1; rank < layout.ranks; rank++) {
		if (layout.relativeTime(rank) > layout.relativeTime(hottest)) {
			hottest = rank;
		}
	}

	return hottest;
}

/** Loads that lie between the first map and the layout. */
function countLoads(original: readonly number[], slots: readonly number[]): number {
	return slots.filter((expert, slot) => expert !== EMPTY_SLOT && expert !== original[slot]).length;
}

/** Plans a layer: takes load off the hottest rank, change by change, and keeps the plan that pays best. */
export function planLayer(state: LayerState, terms: PlanTerms): LayerPlan | undefined {
	const original = state.map.slots;
	const layout = createLayerLayout(state);

	/** How many loads more a slot needs when it gets `expert`. */
	function priceSlot(slot: number, expert: number): number {
		const isLoaded = (held: number) => held !== EMPTY_SLOT && held !== original[slot];
		return Number(isLoaded(expert)) - Number(isLoaded(layout.expertAt(slot)));
	}

	function findBestChange(hottest: number): Candidate | undefined {
		const rootBefore = layout.potential() ** (1 / POTENTIAL_EXPONENT);
		let best: SlotChange | undefined;
		let bestGain = 0;

		function consider(slot: number, expert: number, otherSlot: number, otherExpert: number): void {
			const after = layout.tryChange(slot, expert, otherSlot, otherExpert);
			if (after >= layout.potential()) {
				return;
			}

			const loads = priceSlot(slot, expert) + (otherSlot >= 0 ? priceSlot(otherSlot, otherExpert) : 0);
			const progress = rootBefore - (after ** (1 / POTENTIAL_EXPONENT));
			const gain = progress / Math.max(FREE_CHANGE_WEIGHT, loads);
			if (progress > LEAST_PROGRESS && gain > bestGain) {
				bestGain = gain;
				best = {
					slot, expert, otherSlot, otherExpert,
				};
			}
		}

		/** Copies, moves and swaps of the expert in `slot` of the hottest rank into a slot of another rank. */
		function considerTarget(slot: number, expert: number, target: number): void {
			const occupant = layout.expertAt(target);
			if (occupant === EMPTY_SLOT || layout.copiesOf(occupant) > 1) {
				consider(target, expert, -1, EMPTY_SLOT);
				consider(slot, EMPTY_SLOT, target, expert);
			}

			if (occupant !== EMPTY_SLOT && !layout.isHeld(hottest, occupant)) {
				consider(slot, occupant, target, expert);
			}
		}

		function considerRank(slot: number, expert: number, rank: number): void {
			if (rank === hottest || layout.isHeld(rank, expert)) {
				return;
			}

			for (let i = 0; i < layout.slotsPerRank; i++) {
				considerTarget(slot, expert, (rank * layout.slotsPerRank) + i);
			}
		}

		for (let i = 0; i < layout.slotsPerRank; i++) {
			const slot = (hottest * layout.slotsPerRank) + i;
			const expert = layout.expertAt(slot);
			if (expert !== EMPTY_SLOT) {
				consider(slot, EMPTY_SLOT, -1, EMPTY_SLOT);
				for (let rank = 0; rank < layout.ranks; rank++) {
					considerRank(slot, expert, rank);
				}
			}
		}

		return best && {change: best, gain: bestGain};
	}

	const skewBefore = layout.relativeTime(findHottestRank(layout));
	let bestPlan: LayerPlan | undefined;
	let bestNet = 0;
	let sinceBest = 0;
	for (let i = 0; i < original.length * CHANGES_PER_SLOT && sinceBest < PATIENCE; i++) {
		const candidate = findBestChange(findHottestRank(layout));
		if (!candidate) {
			break;
		}

		layout.makeChange(candidate.change);
		const slots = layout.copySlots();
		const loads = countLoads(original, slots);
		if (loads > terms.maxLoads) {
			break;
		}

		const skewAfter = layout.relativeTime(findHottestRank(layout));
		const net = skewBefore - skewAfter - (loads * terms.skewPerLoad);
		sinceBest++;
		if (net > bestNet && skewBefore - skewAfter >= terms.leastSaving) {
			bestNet = net;
			sinceBest = 0;
			bestPlan = {
				map: {slotsPerRank: layout.slotsPerRank, slots}, loads, skewBefore, skewAfter,
			};
		}
	}

	return bestPlan;
}
