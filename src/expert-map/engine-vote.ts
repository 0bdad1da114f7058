/**
 * The vote as the engine holds it.
 *
 * A hold is a yes, and an epoch that is forbidden is a no. The engine outlives its agent, so a restarted agent finds its vote here. Each
 * function returns only with a definite answer, or with `ended` when the process ends.
 */
import {match} from 'ts-pattern';
import type {Result} from '../core/result.js';
import type {EngineError, EngineOrder, EngineState} from '../ports/model-engine.js';
import type {Proposal} from '../wire/generated/vote.js';
import type {RankVoteDeps} from './rank-vote-types.js';
import {NEAR_STEPS, ORDER_RETRY_MILLIS, STEP_LOOK_MILLIS} from './vote-constants.js';

/**
 * The vote that the engine holds; `taken` means that the map was committed and is in the engine.
 *
 * `void` means that the engine is in another incarnation of its group, where the proposal does not count.
 */
export type HeldVote = 'yes' | 'no' | 'taken' | 'void' | 'ended';

/** Reason by which an engine refuses to release an epoch whose map it has taken. */
const TAKEN_REASON = 'taken';
/** Reason by which an engine refuses to forbid an epoch that it holds. */
const HELD_REASON = 'held';
/** Stands for the reason of an order that was done. */
const DONE = '';
/** Reason by which an engine refuses an order with an old fencing token. */
const OLD_TOKEN_REASON = 'old_fencing_token';

/**
 * Reads the vote of an epoch back, and makes it a no unless the engine holds it.
 *
 * In another incarnation of the group the vote is void and not a no: the group has restarted since the proposal was
 * made, and a former incarnation of this agent may have voted yes before that. A hold found there comes from an order
 * that arrived late; no yes was sent for it, since a yes is sent only after the incarnation was read behind the hold.
 */
export async function concludeVote(deps: RankVoteDeps, proposal: Proposal): Promise<HeldVote> {
	const state = await readUntilAnswered(deps);
	if (!state) {
		return 'ended';
	}

	if (state.mapEpoch === proposal.epoch) {
		return 'taken';
	}

	if (state.groupIncarnation !== proposal.groupIncarnation) {
		return 'void';
	}

	return state.hold?.epoch === proposal.epoch ? 'yes' : forbid(deps, proposal);
}

/**
 * Makes the vote of an epoch that is not held a no for good.
 *
 * Unlike a release the order ends no hold: when it arrives late, the next incarnation may have found a hold and voted
 * yes. A hold that arrived before it is read again.
 */
async function forbid(deps: RankVoteDeps, proposal: Proposal): Promise<HeldVote> {
	const isFinal = (reason: string) => reason === DONE || reason === TAKEN_REASON || reason === HELD_REASON;
	const reason = await orderUntil(deps, {tag: 'forbid', epoch: proposal.epoch}, isFinal);
	return match(reason)
		.returnType<HeldVote | Promise<HeldVote>>()
		.with(undefined, () => 'ended')
		.with(DONE, () => 'no')
		.with(HELD_REASON, async () => concludeVote(deps, proposal))
		.otherwise(() => 'taken');
}

/** Epoch that the engine holds; undefined when there is none or the process ends. */
export async function readHeldEpoch(deps: RankVoteDeps): Promise<number | undefined> {
	const state = await readUntilAnswered(deps);
	return state?.hold?.epoch;
}

/** Ends the hold of an epoch that is aborted or void, unless its map was taken. */
export async function release(deps: RankVoteDeps, epoch: number): Promise<void> {
	const isFinal = (reason: string) => reason === DONE || reason === TAKEN_REASON;
	await orderUntil(deps, {tag: 'release', epoch}, isFinal);
}

/** Puts the committed map into the engine. An engine that refuses has taken it before, or its group has restarted. */
export async function takeMap(deps: RankVoteDeps, {epoch, map, fromStep}: Proposal): Promise<void> {
	const order = {
		tag: 'take_map', epoch, map: map ?? {layers: []}, fromStep,
	} as const;
	await orderUntil(deps, order, reason => reason !== OLD_TOKEN_REASON);
}

/** Loads the experts and orders the hold. Whether the hold was placed is for {@link concludeVote} to say. */
export async function tryHold(deps: RankVoteDeps, proposal: Proposal, isOpen: () => boolean): Promise<void> {
	const stop = new AbortController();
	const prepared = prepare(deps, proposal, stop.signal);
	const isPrepared = await Promise.race([prepared, untilNearStep(deps, proposal, stop.signal)]);
	stop.abort();
	if (isPrepared && isOpen() && isTokenValid(deps, proposal)) {
		await deps.engine.order({tag: 'hold', epoch: proposal.epoch, fromStep: proposal.fromStep}, proposal.fencingToken);
	}
}

/** Whether the group is still the one that the proposal was made for; true while the engine does not answer. */
export async function isSameGroup({engine}: RankVoteDeps, proposal: Proposal): Promise<boolean> {
	const state = await engine.readState();
	return !state.ok || state.value.groupIncarnation === proposal.groupIncarnation;
}

/** Says whether the experts are loaded and the token may be checked. */
async function prepare(deps: RankVoteDeps, proposal: Proposal, signal: AbortSignal): Promise<boolean> {
	await learnFloor(deps, signal);
	if (signal.aborted || !isTokenValid(deps, proposal)) {
		return false;
	}

	const order = {tag: 'load_experts', epoch: proposal.epoch, map: proposal.map ?? {layers: []}} as const;
	const loaded = await deps.engine.order(order, proposal.fencingToken);
	return loaded.ok;
}

/** An engine that checks the token needs no floor. */
async function learnFloor({checksFencing, floor, clock}: RankVoteDeps, signal: AbortSignal): Promise<void> {
	if (checksFencing) {
		return;
	}

	while (floor.read() === undefined && !signal.aborted) {
		// One look after the other.
		// eslint-disable-next-line no-await-in-loop
		await floor.learnFromTable();
		if (floor.read() === undefined) {
			// eslint-disable-next-line no-await-in-loop
			await clock.sleep(ORDER_RETRY_MILLIS, signal);
		}
	}
}

function isTokenValid({checksFencing, floor}: RankVoteDeps, {fencingToken}: Proposal): boolean {
	return (checksFencing || floor.read() !== undefined) && fencingToken >= floor.highest();
}

/** Resolves to false when the engine comes near the step of the proposal. */
async function untilNearStep(deps: RankVoteDeps, {fromStep}: Proposal, signal: AbortSignal): Promise<boolean> {
	while (!signal.aborted) {
		// One look after the other.
		// eslint-disable-next-line no-await-in-loop
		const state = await deps.engine.readState();
		if (state.ok && fromStep > 0 && state.value.step + NEAR_STEPS > fromStep) {
			return false;
		}

		// eslint-disable-next-line no-await-in-loop
		await deps.clock.sleep(STEP_LOOK_MILLIS, signal);
	}

	return false;
}

async function readUntilAnswered({engine, clock, signal}: RankVoteDeps): Promise<EngineState | undefined> {
	while (!signal.aborted) {
		// eslint-disable-next-line no-await-in-loop
		const state = await engine.readState();
		if (state.ok) {
			return state.value;
		}

		// eslint-disable-next-line no-await-in-loop
		await clock.sleep(ORDER_RETRY_MILLIS, signal);
	}

	return undefined;
}

/**
 * Gives an order that ends a vote until `isFinal` holds for the reply; undefined when the process ends.
 *
 * The order carries the highest token seen: it ends what was agreed, and a newer proposer may have raised the
 * engine's floor meanwhile.
 *
 * @returns the reason of a refusal, or `DONE`
 */
async function orderUntil(
	deps: RankVoteDeps,
	order: EngineOrder,
	isFinal: (reason: string) => boolean,
): Promise<string | undefined> {
	while (!deps.signal.aborted) {
		// eslint-disable-next-line no-await-in-loop
		const reason = readDefinite(await deps.engine.order(order, deps.floor.highest()));
		if (reason !== undefined && isFinal(reason)) {
			return reason;
		}

		// eslint-disable-next-line no-await-in-loop
		await deps.floor.learnFromTable();
		// eslint-disable-next-line no-await-in-loop
		await deps.clock.sleep(ORDER_RETRY_MILLIS, deps.signal);
	}

	return undefined;
}

function readDefinite(reply: Result<void, EngineError>): string | undefined {
	if (reply.ok) {
		return DONE;
	}

	return reply.error.tag === 'refused' ? reply.error.reason : undefined;
}
