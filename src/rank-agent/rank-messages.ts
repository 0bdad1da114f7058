/** Between rank states and orders and their messages. */
import {match} from 'ts-pattern';
import type {
	OrderOutcome, RankExperts, RankOrder, RankState,
} from '../ports/rank-engine.js';
import type {RankOrder as OrderMessage, RankReading} from '../wire/generated/rank.js';

/** Stands for no held pass. */
const NO_STEP = -1;

/** Message for a state, with counts and experts where they were asked for. */
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

/** State in a message. */
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

/** Message for an order. */
export function toOrderMessage(order: RankOrder, epoch: number): OrderMessage {
	return match(order)
		.with({tag: 'prepare'}, ({version, experts}) => ({
			epoch,
			order: {
				$case: 'prepare' as const,
				prepare: {version, layers: experts.map(ranks => ({ranks: ranks.map(list => ({experts: [...list]}))}))},
			},
		}))
		.with({tag: 'arm'}, ({version, step}) => ({epoch, order: {$case: 'arm' as const, arm: {version, step}}}))
		.with({tag: 'disarm'}, ({version}) => ({epoch, order: {$case: 'disarm' as const, disarm: {version}}}))
		.with({tag: 'hold'}, ({step}) => ({epoch, order: {$case: 'hold' as const, hold: {step}}}))
		.with({tag: 'go'}, ({step}) => ({epoch, order: {$case: 'go' as const, go: {step}}}))
		.exhaustive();
}

/** Order in a message; undefined when it names none. */
export function fromOrderMessage({order}: OrderMessage): RankOrder | undefined {
	return match(order)
		.with({$case: 'prepare'}, ({prepare}): RankOrder => ({
			tag: 'prepare', version: prepare.version, experts: prepare.layers.map(({ranks}) => ranks.map(({experts}) => experts)),
		}))
		.with({$case: 'arm'}, ({arm}): RankOrder => ({tag: 'arm', version: arm.version, step: arm.step}))
		.with({$case: 'disarm'}, ({disarm}): RankOrder => ({tag: 'disarm', version: disarm.version}))
		.with({$case: 'hold'}, ({hold}): RankOrder => ({tag: 'hold', step: hold.step}))
		.with({$case: 'go'}, ({go}): RankOrder => ({tag: 'go', step: go.step}))
		.with(undefined, () => undefined)
		.exhaustive();
}

/** Outcome in a message; a word not known here means that the order may be carried out. */
export function fromOutcome({outcome, detail}: Readonly<{outcome: string; detail: string}>): OrderOutcome {
	const tag = outcome === 'accepted' || outcome === 'refused' ? outcome : 'unknown';
	return {tag, detail};
}
