import {findChange, type ChangeRules} from './find-change.js';
import {EMPTY_SLOT} from './initial-map.js';
import {createLayerLayout, type LayerLayout, type SlotChange} from './layer-layout.js';
import type {LayerPlan, LayerState, PlanOptions} from './placement-types.js';

/** Changes made in a row without a better plan before the search ends, once the best plan is even. */
const PATIENCE = 16;
/** The same while the best plan is still uneven. */
const UNEVEN_PATIENCE = 96;
/** Skew from which on a plan counts as uneven. */
const UNEVEN_SKEW = 1.15;
/** Changes for which a slot stays as it is once a change that made the layout worse was tried. */
const LOCK_CHANGES = 12;
/** Times a relative time is squared in the potential of one kind of step; nearly the largest rank alone counts. */
const SQUARINGS = 5;
/** Largest number of changes per slot that one search makes. */
const CHANGES_PER_SLOT = 4;

/** Slots that get a copy which they did not hold. */
export function countWeightLoads(before: readonly number[], after: readonly number[]): number {
	return after.filter((expert, slot) => expert !== EMPTY_SLOT && expert !== before[slot]).length;
}

/** Slots of a rank that hold a copy which they did not hold. */
function countRankLoads({slotsPerRank, expertAt}: LayerLayout, original: readonly number[], rank: number): number {
	let loads = 0;
	for (let slot = rank * slotsPerRank; slot < (rank + 1) * slotsPerRank; slot++) {
		loads += Number(expertAt(slot) !== EMPTY_SLOT && expertAt(slot) !== original[slot]);
	}

	return loads;
}

/** Remembers which slots were changed lately, from the first change on that made the layout worse. */
function createSlotLocks() {
	const lockedUntil = new Map<number, number>();
	let made = 0;
	let isActive = false;

	return {
		isLocked: (slot: number) => isActive && (lockedUntil.get(slot) ?? 0) > made,
		note({slot, otherSlot}: SlotChange, isProgress: boolean) {
			isActive ||= !isProgress;
			made++;
			lockedUntil.set(slot, made + LOCK_CHANGES);
			lockedUntil.set(otherSlot, made + LOCK_CHANGES);
		},
	};
}

/** Plans a layer for one kind of step; undefined when no change pays. */
export function planLayer({map, loads, slowFactors}: LayerState, terms: PlanOptions): LayerPlan | undefined {
	return planLayout(createLayerLayout({
		map, scenarios: [{loads, weight: 1}], slowFactors, squarings: SQUARINGS,
	}), terms);
}

/**
 * Plans a layout. Takes load off the hottest rank change by change, through worse layouts where no change is better, and
 * keeps the plan that pays best; undefined when none does.
 */
export function planLayout(layout: LayerLayout, terms: PlanOptions): LayerPlan | undefined {
	const original = layout.copySlots();
	const locks = createSlotLocks();
	const isLoaded = (slot: number, expert: number) => expert !== EMPTY_SLOT && expert !== original[slot];
	/** Whether the rank of the slot has loaded as much as it may. */
	const isRankFull = (slot: number) => {
		const most = terms.maxWeightLoadsByRank?.[layout.rankOf(slot)];
		return most !== undefined && countRankLoads(layout, original, layout.rankOf(slot)) >= most;
	};

	const rules: ChangeRules = {
		addedWeightLoads(slot, expert) {
			const price = Number(isLoaded(slot, expert)) - Number(isLoaded(slot, layout.expertAt(slot)));
			return price > 0 && isRankFull(slot) ? Infinity : price;
		},
		isLocked: locks.isLocked,
		targetRanks: terms.targetRanks,
	};
	const skewBefore = layout.skew();
	let bestPlan: LayerPlan | undefined;
	let bestNet = 0;
	let sinceBest = 0;
	const readPatience = () => terms.maxChangesWithoutImprovement ?? ((bestPlan?.skewAfter ?? skewBefore) > UNEVEN_SKEW ? UNEVEN_PATIENCE : PATIENCE);
	for (let i = 0; i < original.length * CHANGES_PER_SLOT && sinceBest < readPatience(); i++) {
		const found = findChange(layout, rules);
		if (!found) {
			break;
		}

		layout.applyChange(found.change);
		locks.note(found.change, found.isProgress);
		sinceBest++;
		const slots = layout.copySlots();
		const loads = countWeightLoads(original, slots);
		const skewAfter = layout.skew();
		const net = skewBefore - skewAfter - (loads * terms.skewCostPerWeightLoad);
		if (net > bestNet && loads <= terms.maxWeightLoads && skewBefore - skewAfter >= terms.minSkewReduction) {
			bestNet = net;
			sinceBest = 0;
			bestPlan = {
				map: {slotsPerRank: layout.slotsPerRank, slots}, weightLoads: loads, skewBefore, skewAfter,
			};
		}
	}

	return bestPlan;
}
