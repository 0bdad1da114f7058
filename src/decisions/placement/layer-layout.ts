import {sum} from '../sum.js';
import type {LayerMap} from '../../ports/model-engine.js';
import {EMPTY_SLOT} from './initial-map.js';
import {countCopies, measureRankTimes} from './layer-skew.js';

/** Expected tokens of each expert in one kind of step, and the weight of such steps in the total work. */
export type LoadScenario = Readonly<{loads: readonly number[]; weight: number}>;

export type LayoutInput = Readonly<{
	map: LayerMap;
	/** Kinds of steps; the layout is evaluated over all of them. */
	scenarios: readonly LoadScenario[];
	/** Ratio of the time per token of each rank to that of a typical rank. */
	slowFactors: readonly number[];
	/** Number of times the relative time of a rank is squared: with `n` squarings, `x` times the ideal time counts `x ** (2 ** n)`. */
	squarings: number;
}>;

/** A change of up to two slots: `slot` receives `expert`, `otherSlot` receives `otherExpert`. An absent slot is -1. */
export type SlotChange = Readonly<{
	slot: number;
	expert: number;
	otherSlot: number;
	otherExpert: number;
}>;

/** A working copy of one layer, on which changes are evaluated and applied. */
export type LayerLayout = {
	readonly ranks: number;
	readonly slotsPerRank: number;
	/** Exponent of a relative time in the potential. */
	readonly exponent: number;
	readonly expertAt: (slot: number) => number;
	readonly rankOf: (slot: number) => number;
	readonly copiesOf: (expert: number) => number;
	readonly isHeld: (rank: number, expert: number) => boolean;
	/** Ratio of the time of a rank to the ideal time; over several scenarios, the power mean given by its share of the potential. */
	readonly relativeTime: (rank: number) => number;
	/** Largest relative time of a rank, averaged over the scenarios. */
	readonly skew: () => number;
	/** Sum over ranks and scenarios of the relative time to the power of `exponent`. */
	readonly potential: () => number;
	/** Computes the potential after a change; infinite when an expert would have no copy left. */
	readonly potentialAfter: (slot: number, expert: number, otherSlot: number, otherExpert: number) => number;
	readonly applyChange: (change: SlotChange) => void;
	readonly copySlots: () => readonly number[];
};

/** Computes the time of each rank if the load were divided perfectly. */
function measureIdealTime(loads: readonly number[], slowFactors: readonly number[]): number {
	return sum(loads) / sum(slowFactors.map(slowFactor => 1 / slowFactor));
}

/** Scales the weights to a sum of 1; equal weights when all are 0. */
function normalizeWeights(scenarios: readonly LoadScenario[]): Float64Array {
	const total = sum(scenarios.map(({weight}) => weight));
	return Float64Array.from(scenarios, ({weight}) => total > 0 ? weight / total : 1 / scenarios.length);
}

/** Creates a working copy of a layer. */
export function createLayerLayout({map, scenarios, slowFactors, squarings}: LayoutInput): LayerLayout {
	const {slotsPerRank} = map;
	const ranks = slowFactors.length;
	const experts = scenarios[0]?.loads.length ?? 0;
	const scenarioCount = scenarios.length;
	const exponent = 2 ** squarings;
	const scenarioWeights = normalizeWeights(scenarios);
	/** Relative time of a scenario's load of an expert at a typical rank, by expert, then scenario. */
	const relativeLoads = new Float64Array(experts * scenarioCount);
	const slots = Int32Array.from(map.slots);
	const copies = Int32Array.from(countCopies(map, experts));
	const held = new Uint8Array(ranks * experts);
	const holders = Array.from({length: experts}, (): number[] => []);
	const rankOf = (slot: number) => Math.floor(slot / slotsPerRank);
	/** Pending changes of the relative times, by rank, then scenario. */
	const pendingChanges = new Float64Array(ranks * scenarioCount);
	const isRankTouched = new Uint8Array(ranks);
	const touchedRanks: number[] = [];
	/** Relative times by rank, then scenario. */
	const relativeTimes = new Float64Array(ranks * scenarioCount);
	/** Contribution of each rank and scenario to the potential. */
	const potentials = new Float64Array(ranks * scenarioCount);
	let potential = 0;

	for (const [scenario, {loads}] of scenarios.entries()) {
		const idealTime = measureIdealTime(loads, slowFactors) || 1;
		for (const [expert, load] of loads.entries()) {
			relativeLoads[(expert * scenarioCount) + scenario] = load / idealTime;
		}
	}

	function raiseToExponent(relativeTime: number, scenario: number): number {
		let power = relativeTime;
		for (let i = 0; i < squarings; i++) {
			power *= power;
		}

		return power * (scenarioWeights[scenario] ?? 0);
	}

	function measureLayout(): void {
		const layer = {slotsPerRank, slots: [...slots]};
		potential = 0;
		for (const [scenario, {loads}] of scenarios.entries()) {
			const idealTime = measureIdealTime(loads, slowFactors) || 1;
			for (const [rank, time] of measureRankTimes(layer, loads, slowFactors).entries()) {
				const index = (rank * scenarioCount) + scenario;
				relativeTimes[index] = time / idealTime;
				potentials[index] = raiseToExponent(time / idealTime, scenario);
				potential += potentials[index];
			}
		}
	}

	function addHolder(slot: number, expert: number): void {
		if (expert !== EMPTY_SLOT) {
			held[(rankOf(slot) * experts) + expert] = 1;
			holders[expert]?.push(rankOf(slot));
		}
	}

	function setSlot(slot: number, expert: number): void {
		const previousExpert = slots[slot] ?? EMPTY_SLOT;
		if (previousExpert !== EMPTY_SLOT) {
			held[(rankOf(slot) * experts) + previousExpert] = 0;
			holders[previousExpert] = (holders[previousExpert] ?? []).filter(rank => rank !== rankOf(slot));
			copies[previousExpert] = (copies[previousExpert] ?? 0) - 1;
		}

		slots[slot] = expert;
		addHolder(slot, expert);
		if (expert !== EMPTY_SLOT) {
			copies[expert] = (copies[expert] ?? 0) + 1;
		}
	}

	/** Adds a share of an expert's load to the pending changes of a rank in all scenarios. */
	function addLoadChange(rank: number, expert: number, share: number): void {
		if (isRankTouched[rank] === 0) {
			isRankTouched[rank] = 1;
			touchedRanks.push(rank);
		}

		const factor = share * (slowFactors[rank] ?? 1);
		const rankOffset = rank * scenarioCount;
		const expertOffset = expert * scenarioCount;
		for (let scenario = 0; scenario < scenarioCount; scenario++) {
			pendingChanges[rankOffset + scenario]! += factor * relativeLoads[expertOffset + scenario]!;
		}
	}

	/** Adds the pending changes when an expert gains and loses the given copies; false when no copy is left. */
	function addExpertChange(expert: number, gainRank: number, lossRank: number): boolean {
		const before = copies[expert] ?? 0;
		const after = before + (gainRank >= 0 ? 1 : 0) - (lossRank >= 0 ? 1 : 0);
		if (after === 0) {
			return false;
		}

		if (after !== before) {
			for (const rank of holders[expert] ?? []) {
				addLoadChange(rank, expert, (1 / after) - (1 / before));
			}
		}

		if (gainRank >= 0) {
			addLoadChange(gainRank, expert, 1 / after);
		}

		if (lossRank >= 0) {
			addLoadChange(lossRank, expert, -1 / after);
		}

		return true;
	}

	/** Returns the potential after the pending changes and discards them. */
	function evaluatePendingChanges(): number {
		let result = potential;
		for (const rank of touchedRanks) {
			const offset = rank * scenarioCount;
			for (let scenario = 0; scenario < scenarioCount; scenario++) {
				const change = pendingChanges[offset + scenario]!;
				if (change !== 0) {
					result += raiseToExponent(Math.max(0, relativeTimes[offset + scenario]! + change), scenario) - potentials[offset + scenario]!;
					pendingChanges[offset + scenario] = 0;
				}
			}

			isRankTouched[rank] = 0;
		}

		touchedRanks.length = 0;
		return result;
	}

	/** Applies the pending changes to the relative times of the layout. */
	function applyPendingChanges(): void {
		for (const rank of touchedRanks) {
			for (let index = rank * scenarioCount; index < (rank + 1) * scenarioCount; index++) {
				relativeTimes[index] = Math.max(0, relativeTimes[index]! + pendingChanges[index]!);
				const raisedTime = raiseToExponent(relativeTimes[index]!, index % scenarioCount);
				potential += raisedTime - potentials[index]!;
				potentials[index] = raisedTime;
				pendingChanges[index] = 0;
			}

			isRankTouched[rank] = 0;
		}

		touchedRanks.length = 0;
	}

	function addSlotChange(slot: number, expert: number, otherSlot: number, otherExpert: number): boolean {
		const rank = rankOf(slot);
		const previousExpert = slots[slot] ?? EMPTY_SLOT;
		const otherRank = otherSlot >= 0 ? rankOf(otherSlot) : -1;
		const previousOtherExpert = otherSlot >= 0 ? slots[otherSlot] ?? EMPTY_SLOT : EMPTY_SLOT;
		let isLegal = true;
		if (previousExpert !== EMPTY_SLOT) {
			isLegal = addExpertChange(previousExpert, previousExpert === otherExpert ? otherRank : -1, rank);
		}

		if (isLegal && previousOtherExpert !== EMPTY_SLOT) {
			isLegal = addExpertChange(previousOtherExpert, previousOtherExpert === expert ? rank : -1, otherRank);
		}

		if (isLegal && expert !== EMPTY_SLOT && expert !== previousOtherExpert) {
			isLegal = addExpertChange(expert, rank, -1);
		}

		if (isLegal && otherExpert !== EMPTY_SLOT && otherExpert !== previousExpert) {
			isLegal = addExpertChange(otherExpert, otherRank, -1);
		}

		return isLegal;
	}

	function measureRelativeTime(rank: number): number {
		let share = 0;
		for (let scenario = 0; scenario < scenarioCount; scenario++) {
			share += potentials[(rank * scenarioCount) + scenario]!;
		}

		return share ** (1 / exponent);
	}

	function measureSkew(): number {
		let mean = 0;
		for (let scenario = 0; scenario < scenarioCount; scenario++) {
			let largest = 0;
			for (let rank = 0; rank < ranks; rank++) {
				largest = Math.max(largest, relativeTimes[(rank * scenarioCount) + scenario]!);
			}

			mean += largest * (scenarioWeights[scenario] ?? 0);
		}

		return mean;
	}

	for (const [slot, expert] of slots.entries()) {
		addHolder(slot, expert);
	}

	measureLayout();
	return {
		ranks,
		slotsPerRank,
		exponent,
		expertAt: slot => slots[slot] ?? EMPTY_SLOT,
		rankOf,
		copiesOf: expert => copies[expert] ?? 0,
		isHeld: (rank, expert) => held[(rank * experts) + expert] === 1,
		relativeTime: measureRelativeTime,
		skew: measureSkew,
		potential: () => potential,
		potentialAfter(slot, expert, otherSlot, otherExpert) {
			const isLegal = addSlotChange(slot, expert, otherSlot, otherExpert);
			const result = evaluatePendingChanges();
			return isLegal ? result : Number.POSITIVE_INFINITY;
		},
		applyChange({slot, expert, otherSlot, otherExpert}) {
			addSlotChange(slot, expert, otherSlot, otherExpert);
			applyPendingChanges();
			// The slots are emptied first, since the bookkeeping does not support a rank that holds an expert twice.
			setSlot(slot, EMPTY_SLOT);
			if (otherSlot >= 0) {
				setSlot(otherSlot, EMPTY_SLOT);
				setSlot(otherSlot, otherExpert);
			}

			setSlot(slot, expert);
		},
		copySlots: () => [...slots],
	};
}
