import {sum} from '../sum.js';
import type {LayerMap} from '../../ports/model-engine.js';
import {EMPTY_SLOT} from './initial-map.js';
import {countCopies, measureRankTimes} from './layer-skew.js';

/** Expected tokens of each expert in steps of one kind, and the share of the work that such steps do. */
export type LoadScenario = Readonly<{loads: readonly number[]; weight: number}>;

/** What a layout is made of. */
export type LayoutInput = Readonly<{
	map: LayerMap;
	/** Kinds of steps; the layout is judged by all of them together. */
	scenarios: readonly LoadScenario[];
	/** Time per token of each rank over that of a usual rank. */
	slowFactors: readonly number[];
	/** Times the relative time of a rank is squared: at `n` squarings, `x` times the ideal time counts `x ** (2 ** n)`. */
	squarings: number;
}>;

/** A change of up to two slots; `slot` gets `expert`, `otherSlot` gets `otherExpert`. An absent slot is -1. */
export type SlotChange = Readonly<{
	slot: number;
	expert: number;
	otherSlot: number;
	otherExpert: number;
}>;

/** A working copy of one layer, on which changes are tried and made. */
export type LayerLayout = {
	readonly ranks: number;
	readonly slotsPerRank: number;
	/** Power of a relative time in the potential. */
	readonly exponent: number;
	readonly expertAt: (slot: number) => number;
	readonly rankOf: (slot: number) => number;
	readonly copiesOf: (expert: number) => number;
	readonly isHeld: (rank: number, expert: number) => boolean;
	/** Time of a rank over the ideal time; over several scenarios, the mean that its share of the potential stands for. */
	readonly relativeTime: (rank: number) => number;
	/** Largest relative time of a rank, averaged over the scenarios. */
	readonly skew: () => number;
	/** Sum over ranks and scenarios of the relative time to the power of `exponent`. */
	readonly potential: () => number;
	/** Potential after a change; infinite when an expert would have no copy left. */
	readonly potentialAfter: (slot: number, expert: number, otherSlot: number, otherExpert: number) => number;
	readonly applyChange: (change: SlotChange) => void;
	readonly copySlots: () => readonly number[];
};

/** Time of each rank if the load could be divided at will. */
function measureIdealTime(loads: readonly number[], slowFactors: readonly number[]): number {
	return sum(loads) / sum(slowFactors.map(slowFactor => 1 / slowFactor));
}

/** Weights that add up to one; even where none is given. */
function normalizeWeights(scenarios: readonly LoadScenario[]): Float64Array {
	const total = sum(scenarios.map(({weight}) => weight));
	return Float64Array.from(scenarios, ({weight}) => total > 0 ? weight / total : 1 / scenarios.length);
}

/** Creates a working copy of a layer. */
export function createLayerLayout({map, scenarios, slowFactors, squarings}: LayoutInput): LayerLayout {
	const {slotsPerRank} = map;
	const ranks = slowFactors.length;
	const experts = scenarios[0]?.loads.length ?? 0;
	const kinds = scenarios.length;
	const exponent = 2 ** squarings;
	const kindWeights = normalizeWeights(scenarios);
	/** Relative time that a scenario's load of an expert takes at a usual rank, by expert, then scenario. */
	const relativeLoads = new Float64Array(experts * kinds);
	const slots = Int32Array.from(map.slots);
	const copies = Int32Array.from(countCopies(map, experts));
	const held = new Uint8Array(ranks * experts);
	const holders = Array.from({length: experts}, (): number[] => []);
	const rankOf = (slot: number) => Math.floor(slot / slotsPerRank);
	/** Change of the relative times that is being tried, by rank, then scenario. */
	const changes = new Float64Array(ranks * kinds);
	const isTouched = new Uint8Array(ranks);
	const touched: number[] = [];
	/** Relative times by rank, then scenario. */
	const relativeTimes = new Float64Array(ranks * kinds);
	/** Share of each rank and scenario in the potential. */
	const potentials = new Float64Array(ranks * kinds);
	let potential = 0;

	for (const [kind, {loads}] of scenarios.entries()) {
		const idealTime = measureIdealTime(loads, slowFactors) || 1;
		for (const [expert, load] of loads.entries()) {
			relativeLoads[(expert * kinds) + kind] = load / idealTime;
		}
	}

	function raise(relativeTime: number, kind: number): number {
		let power = relativeTime;
		for (let i = 0; i < squarings; i++) {
			power *= power;
		}

		return power * (kindWeights[kind] ?? 0);
	}

	function measure(): void {
		const layer = {slotsPerRank, slots: [...slots]};
		potential = 0;
		for (const [kind, {loads}] of scenarios.entries()) {
			const idealTime = measureIdealTime(loads, slowFactors) || 1;
			for (const [rank, time] of measureRankTimes(layer, loads, slowFactors).entries()) {
				const index = (rank * kinds) + kind;
				relativeTimes[index] = time / idealTime;
				potentials[index] = raise(time / idealTime, kind);
				potential += potentials[index];
			}
		}
	}

	function placeCopy(slot: number, expert: number): void {
		if (expert !== EMPTY_SLOT) {
			held[(rankOf(slot) * experts) + expert] = 1;
			holders[expert]?.push(rankOf(slot));
		}
	}

	function setSlot(slot: number, expert: number): void {
		const former = slots[slot] ?? EMPTY_SLOT;
		if (former !== EMPTY_SLOT) {
			held[(rankOf(slot) * experts) + former] = 0;
			holders[former] = (holders[former] ?? []).filter(rank => rank !== rankOf(slot));
			copies[former] = (copies[former] ?? 0) - 1;
		}

		slots[slot] = expert;
		placeCopy(slot, expert);
		if (expert !== EMPTY_SLOT) {
			copies[expert] = (copies[expert] ?? 0) + 1;
		}
	}

	/** Adds a share of an expert's load to a rank in all scenarios. */
	function addChange(rank: number, expert: number, share: number): void {
		if (isTouched[rank] === 0) {
			isTouched[rank] = 1;
			touched.push(rank);
		}

		const factor = share * (slowFactors[rank] ?? 1);
		const rankOffset = rank * kinds;
		const expertOffset = expert * kinds;
		for (let kind = 0; kind < kinds; kind++) {
			changes[rankOffset + kind]! += factor * relativeLoads[expertOffset + kind]!;
		}
	}

	/** Notes how the times of the ranks change when an expert gains and loses the given copies; false when none is left. */
	function noteExpert(expert: number, gainRank: number, lossRank: number): boolean {
		const before = copies[expert] ?? 0;
		const after = before + (gainRank >= 0 ? 1 : 0) - (lossRank >= 0 ? 1 : 0);
		if (after === 0) {
			return false;
		}

		if (after !== before) {
			for (const rank of holders[expert] ?? []) {
				addChange(rank, expert, (1 / after) - (1 / before));
			}
		}

		if (gainRank >= 0) {
			addChange(gainRank, expert, 1 / after);
		}

		if (lossRank >= 0) {
			addChange(lossRank, expert, -1 / after);
		}

		return true;
	}

	/** Potential after the noted changes, which are forgotten. */
	function settleChanges(): number {
		let result = potential;
		for (const rank of touched) {
			const offset = rank * kinds;
			for (let kind = 0; kind < kinds; kind++) {
				const change = changes[offset + kind]!;
				if (change !== 0) {
					result += raise(Math.max(0, relativeTimes[offset + kind]! + change), kind) - potentials[offset + kind]!;
					changes[offset + kind] = 0;
				}
			}

			isTouched[rank] = 0;
		}

		touched.length = 0;
		return result;
	}

	/** Makes the noted changes of the times those of the layout. */
	function applyChanges(): void {
		for (const rank of touched) {
			for (let index = rank * kinds; index < (rank + 1) * kinds; index++) {
				relativeTimes[index] = Math.max(0, relativeTimes[index]! + changes[index]!);
				const raised = raise(relativeTimes[index]!, index % kinds);
				potential += raised - potentials[index]!;
				potentials[index] = raised;
				changes[index] = 0;
			}

			isTouched[rank] = 0;
		}

		touched.length = 0;
	}

	function noteChange(slot: number, expert: number, otherSlot: number, otherExpert: number): boolean {
		const rank = rankOf(slot);
		const former = slots[slot] ?? EMPTY_SLOT;
		const otherRank = otherSlot >= 0 ? rankOf(otherSlot) : -1;
		const otherFormer = otherSlot >= 0 ? slots[otherSlot] ?? EMPTY_SLOT : EMPTY_SLOT;
		let isLegal = true;
		if (former !== EMPTY_SLOT) {
			isLegal = noteExpert(former, former === otherExpert ? otherRank : -1, rank);
		}

		if (isLegal && otherFormer !== EMPTY_SLOT) {
			isLegal = noteExpert(otherFormer, otherFormer === expert ? rank : -1, otherRank);
		}

		if (isLegal && expert !== EMPTY_SLOT && expert !== otherFormer) {
			isLegal = noteExpert(expert, rank, -1);
		}

		if (isLegal && otherExpert !== EMPTY_SLOT && otherExpert !== former) {
			isLegal = noteExpert(otherExpert, otherRank, -1);
		}

		return isLegal;
	}

	function measureRelativeTime(rank: number): number {
		let share = 0;
		for (let kind = 0; kind < kinds; kind++) {
			share += potentials[(rank * kinds) + kind]!;
		}

		return share ** (1 / exponent);
	}

	function measureSkew(): number {
		let mean = 0;
		for (let kind = 0; kind < kinds; kind++) {
			let largest = 0;
			for (let rank = 0; rank < ranks; rank++) {
				largest = Math.max(largest, relativeTimes[(rank * kinds) + kind]!);
			}

			mean += largest * (kindWeights[kind] ?? 0);
		}

		return mean;
	}

	for (const [slot, expert] of slots.entries()) {
		placeCopy(slot, expert);
	}

	measure();
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
			const isLegal = noteChange(slot, expert, otherSlot, otherExpert);
			const result = settleChanges();
			return isLegal ? result : Number.POSITIVE_INFINITY;
		},
		applyChange({slot, expert, otherSlot, otherExpert}) {
			noteChange(slot, expert, otherSlot, otherExpert);
			applyChanges();
			// The slots are emptied first, since a rank must not seem to hold an expert twice.
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
