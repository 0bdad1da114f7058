/**
 * The vote as the engine holds it.
 *
 * A hold is a yes and a forbidden epoch is a no. The engine outlives its agent, so a restarted agent finds its vote here. Each
 * function returns only with a definite answer, or with `ended` when the process ends.
 */
import {match} from 'ts-pattern';
import type {Result} from '../core/result.js';
import type {EngineError, EngineOrder, EngineState} from '../ports/model-engine.js';
import type {Proposal} from '../wire/generated/vote.js';
import type {RankVoterDeps} from './rank-voter-types.js';
import {VOTE_CUTOFF_STEPS, ORDER_RETRY_MILLIS, STEP_POLL_MILLIS} from './vote-constants.js';

/**
 * The vote that the engine holds; `taken` means that the map was committed and is in the engine.
 *
 * `void` means that the engine is in another incarnation of its group, where the proposal does not count.
 */
export type EngineVote = 'yes' | 'no' | 'taken' | 'void' | 'ended';

/** Reason by which an engine refuses to forbid an epoch that it holds. */
const HELD_REASON = 'held';
/** Reason by which an engine refuses to forbid or release an epoch whose map it has taken. */
const TAKEN_REASON = 'taken';
/** Stands for the reason of an order that was done. */
const DONE = '';
/** Reason by which an engine refuses an order with an old fencing token. */
const OLD_TOKEN_REASON = 'old_fencing_token';

/**
 * Reads the vote of an epoch back, and makes it a no unless the engine holds it.
 *
 * The no is placed by an order that the engine refuses while it holds the epoch. An order of a former incarnation of
 * this agent that arrives late therefore never ends a hold that was read back as a yes.
 *
 * In another incarnation of the group the vote is void and not a no: the group has restarted since the proposal was
 * made, and a former incarnation of this agent may have voted yes before that. A hold found there comes from an order
 * that arrived late; no yes was sent for it, since a yes is sent only after the incarnation was read behind the hold.
 * It is released.
 */
export async function finalizeVote(deps: RankVoterDeps, proposal: Proposal): Promise<EngineVote> {
	while (!deps.signal.aborted) {
		// One look after the other.
		// eslint-disable-next-line no-await-in-loop
		const vote = await readOrForbid(deps, proposal);
		if (vote !== 'held') {
			return vote;
		}
	}

	return 'ended';
}

/** The vote of an epoch; `held` when a hold has arrived since the engine was read. */
async function readOrForbid(deps: RankVoterDeps, {epoch, groupIncarnation}: Proposal): Promise<EngineVote | 'held'> {
	const state = await readUntilAnswered(deps);
	if (!state) {
		return 'ended';
	}

	if (state.mapEpoch === epoch) {
		return 'taken';
	}

	if (state.groupIncarnation !== groupIncarnation) {
		return state.hold?.epoch === epoch ? endVoidHold(deps, epoch) : 'void';
	}

	if (state.hold?.epoch === epoch) {
		return 'yes';
	}

	const isFinal = (reason: string) => reason === DONE || reason === TAKEN_REASON || reason === HELD_REASON;
	return match(await orderUntil(deps, {tag: 'forbid', epoch}, isFinal))
		.returnType<EngineVote | 'held'>()
		.with(undefined, () => 'ended')
		.with(TAKEN_REASON, () => 'taken')
		.with(HELD_REASON, () => 'held')
		.otherwise(() => 'no');
}

/** Lets the engine go on past the step of a hold that does not count. */
async function endVoidHold(deps: RankVoterDeps, epoch: number): Promise<EngineVote> {
	const released = await releaseHold(deps, epoch);
	return released === 'no' ? 'void' : released;
}

/** Epoch that the engine holds; undefined when there is none or the process ends. */
export async function readHeldEpoch(deps: RankVoterDeps): Promise<number | undefined> {
	const state = await readUntilAnswered(deps);
	return state?.hold?.epoch;
}

/** Makes the vote of an epoch a no for good, unless its map was taken. */
export async function releaseHold(deps: RankVoterDeps, epoch: number): Promise<'no' | 'taken' | 'ended'> {
	const isFinal = (reason: string) => reason === DONE || reason === TAKEN_REASON;
	const reason = await orderUntil(deps, {tag: 'release', epoch}, isFinal);
	if (reason === undefined) {
		return 'ended';
	}

	return reason === DONE ? 'no' : 'taken';
}

/** Puts the committed map into the engine. An engine that refuses has taken it before, or its group has restarted. */
export async function applyCommittedMap(deps: RankVoterDeps, {epoch, map, fromStep}: Proposal): Promise<void> {
	const order = {
		tag: 'take_map', epoch, map: map ?? {layers: []}, fromStep,
	} as const;
	await orderUntil(deps, order, reason => reason !== OLD_TOKEN_REASON);
}

/** Loads the experts and orders the hold. Whether the hold was placed is for {@link finalizeVote} to say. */
export async function tryPlaceHold(deps: RankVoterDeps, proposal: Proposal, isOpen: () => boolean): Promise<void> {
	const stop = new AbortController();
	const end = () => {
		stop.abort();
	};

	deps.signal.addEventListener('abort', end, {once: true});
	const prepared = prepare(deps, proposal, stop.signal);
	const isPrepared = await Promise.race([prepared, untilNearStep(deps, proposal, stop.signal)]);
	deps.signal.removeEventListener('abort', end);
	end();
	if (isPrepared && !deps.signal.aborted && isOpen() && isTokenValid(deps, proposal)) {
		await deps.engine.order({tag: 'hold', epoch: proposal.epoch, fromStep: proposal.fromStep}, proposal.fencingToken);
	}
}

/** Whether the group is still the one that the proposal was made for; true while the engine does not answer. */
export async function isSameGroupIncarnation({engine}: RankVoterDeps, proposal: Proposal): Promise<boolean> {
	const state = await engine.readState();
	return !state.ok || state.value.groupIncarnation === proposal.groupIncarnation;
}

/** Says whether the experts are loaded and the token may be checked. */
async function prepare(deps: RankVoterDeps, proposal: Proposal, signal: AbortSignal): Promise<boolean> {
	await learnFloor(deps, signal);
	if (signal.aborted || !isTokenValid(deps, proposal)) {
		return false;
	}

	const order = {tag: 'load_experts', epoch: proposal.epoch, map: proposal.map ?? {layers: []}} as const;
	const loaded = await deps.engine.order(order, proposal.fencingToken);
	return loaded.ok;
}

/** An engine that checks the token needs no floor. */
async function learnFloor({checksFencing, floor, clock}: RankVoterDeps, signal: AbortSignal): Promise<void> {
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

function isTokenValid({checksFencing, floor}: RankVoterDeps, {fencingToken}: Proposal): boolean {
	return (checksFencing || floor.read() !== undefined) && fencingToken >= floor.highestToken();
}

/** Resolves to false when the engine comes near the step of the proposal. */
async function untilNearStep(deps: RankVoterDeps, {fromStep}: Proposal, signal: AbortSignal): Promise<boolean> {
	while (!signal.aborted) {
		// One look after the other.
		// eslint-disable-next-line no-await-in-loop
		const state = await deps.engine.readState();
		if (state.ok && fromStep > 0 && state.value.step + VOTE_CUTOFF_STEPS > fromStep) {
			return false;
		}

		// eslint-disable-next-line no-await-in-loop
		await deps.clock.sleep(STEP_POLL_MILLIS, signal);
	}

	return false;
}

async function readUntilAnswered({engine, clock, signal}: RankVoterDeps): Promise<EngineState | undefined> {
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
	deps: RankVoterDeps,
	order: EngineOrder,
	isFinal: (reason: string) => boolean,
): Promise<string | undefined> {
	while (!deps.signal.aborted) {
		// eslint-disable-next-line no-await-in-loop
		const reason = readDefinite(await deps.engine.order(order, deps.floor.highestToken()));
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
