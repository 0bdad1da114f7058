import {EMPTY_SLOT} from './initial-map.js';
import {countCopies, measureRankTimes} from './layer-skew.js';
import type {LayerState} from './placement-types.js';

/** Times the potential of a rank is squared: a rank at `x` times the ideal time counts `x ** 32`. */
const SQUARINGS = 5;

/** Exponent that belongs to {@link SQUARINGS}. */
export const POTENTIAL_EXPONENT = 2 ** SQUARINGS;

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
	readonly expertAt: (slot: number) => number;
	readonly rankOf: (slot: number) => number;
	readonly copiesOf: (expert: number) => number;
	readonly isHeld: (rank: number, expert: number) => boolean;
	/** Time of a rank over the ideal time. */
	readonly relativeTime: (rank: number) => number;
	/** Sum over the ranks of the relative time to the power of {@link POTENTIAL_EXPONENT}. */
	readonly potential: () => number;
	/** Potential after a change; infinite when an expert would have no copy left. */
	readonly tryChange: (slot: number, expert: number, otherSlot: number, otherExpert: number) => number;
	readonly makeChange: (change: SlotChange) => void;
	readonly copySlots: () => readonly number[];
};

function raise(relativeTime: number): number {
	let power = relativeTime;
	for (let i = 0; i < SQUARINGS; i++) {
		power *= power;
	}

	return power;
}

/** Time of each rank if the load could be divided at will. */
function measureIdealTime(state: LayerState): number {
	let tokens = 0;
	for (const load of state.loads) {
		tokens += load;
	}

	let speed = 0;
	for (const slowFactor of state.slowFactors) {
		speed += 1 / slowFactor;
	}

	return tokens / speed;
}

/** Creates a working copy of `state`. */
export function createLayerLayout(state: LayerState): LayerLayout {
	const {loads, slowFactors, map: {slotsPerRank}} = state;
	const ranks = slowFactors.length;
	const idealTime = measureIdealTime(state) || 1;
	const weights = Float64Array.from(slowFactors, slowFactor => slowFactor / idealTime);
	const slots = Int32Array.from(state.map.slots);
	const copies = Int32Array.from(countCopies(state.map, loads.length));
	const held = new Uint8Array(ranks * loads.length);
	const holders = Array.from(loads, (): number[] => []);
	const rankOf = (slot: number) => Math.floor(slot / slotsPerRank);
	const changes = new Float64Array(ranks);
	const touched: number[] = [];
	let relativeTimes = new Float64Array(ranks);
	let potential = 0;

	function refresh(): void {
		const times = measureRankTimes({slotsPerRank, slots: [...slots]}, loads, slowFactors);
		relativeTimes = Float64Array.from(times, time => time / idealTime);
		potential = 0;
		for (const relativeTime of relativeTimes) {
			potential += raise(relativeTime);
		}
	}

	function placeCopy(slot: number, expert: number): void {
		if (expert !== EMPTY_SLOT) {
			held[(rankOf(slot) * loads.length) + expert] = 1;
			holders[expert]?.push(rankOf(slot));
		}
	}

	function setSlot(slot: number, expert: number): void {
		const former = slots[slot] ?? EMPTY_SLOT;
		if (former !== EMPTY_SLOT) {
			held[(rankOf(slot) * loads.length) + former] = 0;
			holders[former] = (holders[former] ?? []).filter(rank => rank !== rankOf(slot));
			copies[former] = (copies[former] ?? 0) - 1;
		}

		slots[slot] = expert;
		placeCopy(slot, expert);
		if (expert !== EMPTY_SLOT) {
			copies[expert] = (copies[expert] ?? 0) + 1;
		}
	}

	function addChange(rank: number, tokens: number): void {
		if (changes[rank] === 0) {
			touched.push(rank);
		}

		changes[rank] = (changes[rank] ?? 0) + tokens;
	}

	/** Notes how the tokens of the ranks change when an expert gains and loses the given copies; false when none is left. */
	function noteExpert(expert: number, gainRank: number, lossRank: number): boolean {
		const before = copies[expert] ?? 0;
		const after = before + (gainRank >= 0 ? 1 : 0) - (lossRank >= 0 ? 1 : 0);
		if (after === 0) {
			return false;
		}

		const load = loads[expert] ?? 0;
		const share = load / after;
		if (after !== before) {
			for (const rank of holders[expert] ?? []) {
				addChange(rank, share - (load / before));
			}
		}

		if (gainRank >= 0) {
			addChange(gainRank, share);
		}

		if (lossRank >= 0) {
			addChange(lossRank, -share);
		}

		return true;
	}

	/** Potential after the noted changes, which are forgotten. */
	function settleChanges(): number {
		let result = potential;
		for (const rank of touched) {
			const change = changes[rank] ?? 0;
			if (change !== 0) {
				const before = relativeTimes[rank] ?? 0;
				result += raise(Math.max(0, before + (change * (weights[rank] ?? 0)))) - raise(before);
				changes[rank] = 0;
			}
		}

		touched.length = 0;
		return result;
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

	for (const [slot, expert] of slots.entries()) {
		placeCopy(slot, expert);
	}

	refresh();
	return {
		ranks,
		slotsPerRank,
		expertAt: slot => slots[slot] ?? EMPTY_SLOT,
		rankOf,
		copiesOf: expert => copies[expert] ?? 0,
		isHeld: (rank, expert) => held[(rank * loads.length) + expert] === 1,
		relativeTime: rank => relativeTimes[rank] ?? 0,
		potential: () => potential,
		tryChange(slot, expert, otherSlot, otherExpert) {
			const isLegal = noteChange(slot, expert, otherSlot, otherExpert);
			const result = settleChanges();
			return isLegal ? result : Number.POSITIVE_INFINITY;
		},
		makeChange({slot, expert, otherSlot, otherExpert}) {
			// The slots are emptied first, since a rank must not seem to hold an expert twice.
			setSlot(slot, EMPTY_SLOT);
			if (otherSlot >= 0) {
				setSlot(otherSlot, EMPTY_SLOT);
				setSlot(otherSlot, otherExpert);
			}

			setSlot(slot, expert);
			refresh();
		},
		copySlots: () => [...slots],
	};
}
