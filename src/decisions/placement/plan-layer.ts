import {findChange, type ChangeRules} from './find-change.js';
import {EMPTY_SLOT} from './initial-map.js';
import {createLayerLayout, type LayerLayout, type SlotChange} from './layer-layout.js';
import type {LayerPlan, LayerState, PlanOptions} from './placement-types.js';

/** Number of consecutive changes without a better plan after which the search ends, if the best plan is even. */
const MAX_NON_IMPROVING_CHANGES = 16;
/** The same limit while the best plan is still uneven. */
const UNEVEN_MAX_NON_IMPROVING_CHANGES = 96;
/** Skew above which a plan counts as uneven. */
const UNEVEN_SKEW = 1.15;
/** Number of changes for which a changed slot is locked, after the first change that made the layout worse. */
const SLOT_LOCK_CHANGES = 12;
/** Number of times a relative time is squared in the potential for a single scenario; nearly only the slowest rank counts. */
const SQUARINGS = 5;
/** Largest number of changes in one search, per slot. */
const CHANGES_PER_SLOT = 4;

/** Counts the slots that receive a copy they did not hold. */
export function countWeightLoads(before: readonly number[], after: readonly number[]): number {
	return after.filter((expert, slot) => expert !== EMPTY_SLOT && expert !== before[slot]).length;
}

/** Counts the slots, of a part of a layout, that hold a copy they did not hold originally. */
function countChangedSlots({expertAt}: LayerLayout, original: readonly number[], from = 0, end = original.length): number {
	let weightLoads = 0;
	for (let slot = from; slot < end; slot++) {
		weightLoads += Number(expertAt(slot) !== EMPTY_SLOT && expertAt(slot) !== original[slot]);
	}

	return weightLoads;
}

/** The same for the slots of a rank. */
function countRankWeightLoads(layout: LayerLayout, original: readonly number[], rank: number): number {
	return countChangedSlots(layout, original, rank * layout.slotsPerRank, (rank + 1) * layout.slotsPerRank);
}

/** Locks recently changed slots, starting with the first change that makes the layout worse. */
function createSlotLocks() {
	const lockedUntil = new Map<number, number>();
	let changeCount = 0;
	let isActive = false;

	return {
		isLocked: (slot: number) => isActive && (lockedUntil.get(slot) ?? 0) > changeCount,
		note({slot, otherSlot}: SlotChange, isProgress: boolean) {
			isActive ||= !isProgress;
			changeCount++;
			lockedUntil.set(slot, changeCount + SLOT_LOCK_CHANGES);
			lockedUntil.set(otherSlot, changeCount + SLOT_LOCK_CHANGES);
		},
	};
}

/** Plans a layer for a single scenario; undefined when no change pays off. */
export function planLayer({map, loads, slowFactors}: LayerState, options: PlanOptions): LayerPlan | undefined {
	return planLayout(createLayerLayout({
		map, scenarios: [{loads, weight: 1}], slowFactors, squarings: SQUARINGS,
	}), options);
}

/**
 * Plans a layout by local search: takes load off the hottest rank change by change, accepting worse layouts where no change is
 * better, and keeps the plan with the best net reduction of skew; undefined when no plan pays off.
 */
export function planLayout(layout: LayerLayout, options: PlanOptions): LayerPlan | undefined {
	const original = layout.copySlots();
	const locks = createSlotLocks();
	const needsWeightLoad = (slot: number, expert: number) => expert !== EMPTY_SLOT && expert !== original[slot];
	/** Whether the rank of the slot has reached its limit of weight loads. */
	const isRankFull = (slot: number) => {
		const maxRankLoads = options.maxWeightLoadsByRank?.[layout.rankOf(slot)];
		return maxRankLoads !== undefined && countRankWeightLoads(layout, original, layout.rankOf(slot)) >= maxRankLoads;
	};

	const rules: ChangeRules = {
		addedWeightLoads(slot, expert) {
			const addedLoads = Number(needsWeightLoad(slot, expert)) - Number(needsWeightLoad(slot, layout.expertAt(slot)));
			return addedLoads > 0 && isRankFull(slot) ? Infinity : addedLoads;
		},
		isLocked: locks.isLocked,
		targetRanks: options.targetRanks,
	};
	const skewBefore = layout.skew();
	let bestPlan: LayerPlan | undefined;
	let bestNetReduction = 0;
	let changesSinceBest = 0;
	const readChangeLimit = () => options.maxChangesWithoutImprovement ?? ((bestPlan?.skewAfter ?? skewBefore) > UNEVEN_SKEW ? UNEVEN_MAX_NON_IMPROVING_CHANGES : MAX_NON_IMPROVING_CHANGES);
	for (let i = 0; i < original.length * CHANGES_PER_SLOT && changesSinceBest < readChangeLimit(); i++) {
		const found = findChange(layout, rules);
		if (!found) {
			break;
		}

		layout.applyChange(found.change);
		locks.note(found.change, found.isProgress);
		changesSinceBest++;
		const weightLoads = countChangedSlots(layout, original);
		const skewAfter = layout.skew();
		const netReduction = skewBefore - skewAfter - (weightLoads * options.skewCostPerWeightLoad);
		if (netReduction > bestNetReduction && weightLoads <= options.maxWeightLoads && skewBefore - skewAfter >= options.minSkewReduction) {
			bestNetReduction = netReduction;
			changesSinceBest = 0;
			bestPlan = {
				map: {slotsPerRank: layout.slotsPerRank, slots: layout.copySlots()}, weightLoads, skewBefore, skewAfter,
			};
		}
	}

	return bestPlan;
}
