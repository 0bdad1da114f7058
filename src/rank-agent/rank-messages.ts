/** Converts rank states and orders to and from their messages. */
import {match} from 'ts-pattern';
import type {
	GroupExperts, OrderOutcome, RankExperts, RankOrder, RankState,
} from '../ports/rank-engine.js';
import type {
	MapChange, Prepare, RankOrder as OrderMessage, RankReading,
} from '../wire/generated/rank.js';
import type {MapMemory} from './map-change.js';

/** Outcome of an order that changes a map which the agent does not know; the order was not given to the engine. */
export const UNKNOWN_MAP = 'unknown_map';

/** Encodes that no pass is held. */
const NO_STEP = -1;

/** Converts a state to its message, with counts and experts if they were requested. */
export function toReading(state: RankState, counts: readonly number[], experts: RankExperts): RankReading {
	const {group} = state;
	return {
		group: group.name,
		rank: group.rank,
		size: group.size,
		epoch: group.epoch,
		isOpen: group.isOpen,
		step: state.step,
		mapVersion: state.mapVersion,
		preparedVersion: state.preparedVersion ?? 0,
		armedVersion: state.armed?.version ?? 0,
		armedStep: state.armed?.step ?? 0,
		heldStep: state.heldStep ?? NO_STEP,
		pace: state.slowFactor,
		hasWork: state.hasWork,
		counts: [...counts],
		experts: experts.map(layer => ({experts: [...layer]})),
	};
}

/** Converts a message to the state it contains. */
export function fromReading(reading: RankReading): RankState {
	return {
		group: {
			name: reading.group, rank: reading.rank, size: reading.size, epoch: reading.epoch, isOpen: reading.isOpen,
		},
		step: reading.step,
		mapVersion: reading.mapVersion,
		preparedVersion: reading.preparedVersion === 0 ? undefined : reading.preparedVersion,
		armed: reading.armedVersion === 0 ? undefined : {version: reading.armedVersion, step: reading.armedStep},
		heldStep: reading.heldStep === NO_STEP ? undefined : reading.heldStep,
		slowFactor: reading.pace,
		hasWork: reading.hasWork,
	};
}

/** Converts an order to its message. A map is given whole unless `change` describes it. */
export function toOrderMessage(order: RankOrder, epoch: number, change?: MapChange): OrderMessage {
	return match(order)
		.with({tag: 'prepare'}, ({version, experts}) => ({
			epoch,
			order: {
				$case: 'prepare' as const,
				prepare: {
					version, layers: change ? [] : experts.map(ranks => ({ranks: ranks.map(list => ({experts: [...list]}))})), change,
				},
			},
		}))
		.with({tag: 'arm'}, ({version, step}) => ({epoch, order: {$case: 'arm' as const, arm: {version, step}}}))
		.with({tag: 'disarm'}, ({version}) => ({epoch, order: {$case: 'disarm' as const, disarm: {version}}}))
		.with({tag: 'hold'}, ({step}) => ({epoch, order: {$case: 'hold' as const, hold: {step}}}))
		.with({tag: 'go'}, ({step}) => ({epoch, order: {$case: 'go' as const, go: {step}}}))
		.exhaustive();
}

/** Reads the map of a prepare order; undefined if it changes a map that is not known. */
function readMap({layers, change}: Prepare, maps: MapMemory): GroupExperts | undefined {
	if (change) {
		return maps.resolve(change);
	}

	const experts = layers.map(({ranks}) => ranks.map(rank => rank.experts));
	maps.remember(experts);
	return experts;
}

/** Converts a message to the order it contains; undefined if it contains none, `unknown_map` if it changes a map that is not known. */
export function fromOrderMessage({order}: OrderMessage, maps: MapMemory): RankOrder | 'unknown_map' | undefined {
	return match(order)
		.with({$case: 'prepare'}, ({prepare}): RankOrder | 'unknown_map' => {
			const experts = readMap(prepare, maps);
			return experts ? {tag: 'prepare', version: prepare.version, experts} : 'unknown_map';
		})
		.with({$case: 'arm'}, ({arm}): RankOrder => ({tag: 'arm', version: arm.version, step: arm.step}))
		.with({$case: 'disarm'}, ({disarm}): RankOrder => ({tag: 'disarm', version: disarm.version}))
		.with({$case: 'hold'}, ({hold}): RankOrder => ({tag: 'hold', step: hold.step}))
		.with({$case: 'go'}, ({go}): RankOrder => ({tag: 'go', step: go.step}))
		.with(undefined, () => undefined)
		.exhaustive();
}

/** Converts a message to the outcome it contains; an unrecognised value means that the order may be executed. */
export function fromOutcome({outcome, detail}: Readonly<{outcome: string; detail: string}>): OrderOutcome {
	const tag = outcome === 'accepted' || outcome === 'done' || outcome === 'refused' ? outcome : 'unknown';
	return {tag, detail};
}
