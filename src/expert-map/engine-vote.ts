/**
 * The rank's vote as stored in its engine.
 *
 * A hold is a yes and a forbidden epoch is a no. The engine outlives its agent, so a restarted agent reads its vote back
 * from the engine. Functions that read or end a vote retry until the answer is definite, or the process ends (`ended`).
 */
import {match} from 'ts-pattern';
import type {Result} from '../core/result.js';
import type {EngineError, EngineOrder, EngineState} from '../ports/model-engine.js';
import type {Proposal} from '../wire/generated/vote.js';
import type {RankVoterDeps} from './rank-voter-types.js';
import {VOTE_CUTOFF_STEPS, ORDER_RETRY_MILLIS, STEP_POLL_MILLIS} from './vote-constants.js';

/**
 * The vote stored in the engine; `taken` means that the map was committed and the engine uses it.
 *
 * `void` means that the engine is in another incarnation of its group, where the proposal is not valid.
 */
export type EngineVote = 'yes' | 'no' | 'taken' | 'void' | 'ended';

/** Reason with which an engine refuses to forbid an epoch that it holds. */
const REFUSED_HELD = 'held';
/** Reason with which an engine refuses to forbid or release an epoch whose map it already uses. */
const REFUSED_TAKEN = 'taken';
/** Used in place of a refusal reason for an order that was carried out. */
const CARRIED_OUT = '';
/** Reason with which an engine refuses an order with a stale fencing token. */
const REFUSED_STALE_TOKEN = 'old_fencing_token';

/**
 * Reads the vote of an epoch from the engine, and makes it a no unless the engine holds the epoch.
 *
 * The no is a `forbid` order, which the engine refuses while it holds the epoch. A delayed order of a former incarnation
 * of this agent therefore never ends a hold that was read back as a yes.
 *
 * In another incarnation of the group the vote is void and not a no: the group has restarted since the proposal was
 * made, and a former incarnation of this agent may have voted yes before that. A hold found there was placed by a delayed
 * order. No yes was sent for it, since an agent reads the group incarnation again after placing a hold, before it sends a
 * yes. The hold is released.
 */
export async function finalizeVote(deps: RankVoterDeps, proposal: Proposal): Promise<EngineVote> {
	while (!deps.signal.aborted) {
		// eslint-disable-next-line no-await-in-loop
		const vote = await readOrForbid(deps, proposal);
		if (vote !== 'held') {
			return vote;
		}
	}

	return 'ended';
}

/** The vote of an epoch; `held` when a hold was placed after the engine was read. */
async function readOrForbid(deps: RankVoterDeps, {epoch, groupIncarnation}: Proposal): Promise<EngineVote | 'held'> {
	const state = await readUntilAnswered(deps);
	if (!state) {
		return 'ended';
	}

	if (state.mapEpoch === epoch) {
		return 'taken';
	}

	if (state.groupIncarnation !== groupIncarnation) {
		return state.hold?.epoch === epoch ? releaseVoidHold(deps, epoch) : 'void';
	}

	if (state.hold?.epoch === epoch) {
		return 'yes';
	}

	const isFinal = (reason: string) => reason === CARRIED_OUT || reason === REFUSED_TAKEN || reason === REFUSED_HELD;
	return match(await sendOrderUntil(deps, {tag: 'forbid', epoch}, isFinal))
		.returnType<EngineVote | 'held'>()
		.with(undefined, () => 'ended')
		.with(REFUSED_TAKEN, () => 'taken')
		.with(REFUSED_HELD, () => 'held')
		.otherwise(() => 'no');
}

/** Releases a hold that is void, so that the engine can run past its step. */
async function releaseVoidHold(deps: RankVoterDeps, epoch: number): Promise<EngineVote> {
	const released = await releaseHold(deps, epoch);
	return released === 'no' ? 'void' : released;
}

/** Reads the epoch that the engine holds; undefined when there is none or the process ends. */
export async function readHeldEpoch(deps: RankVoterDeps): Promise<number | undefined> {
	const state = await readUntilAnswered(deps);
	return state?.hold?.epoch;
}

/** Makes the vote of an epoch a permanent no, unless the engine already uses its map. */
export async function releaseHold(deps: RankVoterDeps, epoch: number): Promise<'no' | 'taken' | 'ended'> {
	const isFinal = (reason: string) => reason === CARRIED_OUT || reason === REFUSED_TAKEN;
	const reason = await sendOrderUntil(deps, {tag: 'release', epoch}, isFinal);
	if (reason === undefined) {
		return 'ended';
	}

	return reason === CARRIED_OUT ? 'no' : 'taken';
}

/** Applies the committed map to the engine. An engine that refuses already has the map, or its group has restarted. */
export async function applyCommittedMap(deps: RankVoterDeps, {epoch, map, fromStep}: Proposal): Promise<void> {
	const order = {
		tag: 'take_map', epoch, map: map ?? {layers: []}, fromStep,
	} as const;
	await sendOrderUntil(deps, order, reason => reason !== REFUSED_STALE_TOKEN);
}

/** Loads the experts and orders the hold. {@link finalizeVote} then reads whether the hold was placed. */
export async function tryPlaceHold(deps: RankVoterDeps, proposal: Proposal, isOpen: () => boolean): Promise<void> {
	const stop = new AbortController();
	const end = () => {
		stop.abort();
	};

	deps.signal.addEventListener('abort', end, {once: true});
	const prepared = loadExperts(deps, proposal, stop.signal);
	const isPrepared = await Promise.race([prepared, waitUntilNearStep(deps, proposal, stop.signal)]);
	deps.signal.removeEventListener('abort', end);
	end();
	if (isPrepared && !deps.signal.aborted && isOpen() && isTokenValid(deps, proposal)) {
		await deps.engine.order({tag: 'hold', epoch: proposal.epoch, fromStep: proposal.fromStep}, proposal.fencingToken);
	}
}

/** Whether the group is still in the incarnation that the proposal was made for; true while the engine does not answer. */
export async function isSameGroupIncarnation({engine}: RankVoterDeps, proposal: Proposal): Promise<boolean> {
	const state = await engine.readState();
	return !state.ok || state.value.groupIncarnation === proposal.groupIncarnation;
}

/** Resolves to true once the experts are loaded; false when loading fails or the fencing token is not valid. */
async function loadExperts(deps: RankVoterDeps, proposal: Proposal, signal: AbortSignal): Promise<boolean> {
	await waitForFloor(deps, signal);
	if (signal.aborted || !isTokenValid(deps, proposal)) {
		return false;
	}

	const order = {tag: 'load_experts', epoch: proposal.epoch, map: proposal.map ?? {layers: []}} as const;
	const loaded = await deps.engine.order(order, proposal.fencingToken);
	return loaded.ok;
}

/** Waits until the fencing floor is known. An engine that checks the token itself needs none. */
async function waitForFloor({checksFencing, floor, clock}: RankVoterDeps, signal: AbortSignal): Promise<void> {
	if (checksFencing) {
		return;
	}

	while (floor.read() === undefined && !signal.aborted) {
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

/** Resolves to false when the engine comes within `VOTE_CUTOFF_STEPS` of the step of the proposal. */
async function waitUntilNearStep(deps: RankVoterDeps, {fromStep}: Proposal, signal: AbortSignal): Promise<boolean> {
	while (!signal.aborted) {
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
 * Sends an order that ends a vote until `isFinal` holds for the reply; undefined when the process ends.
 *
 * The order carries the highest token seen rather than that of the proposal: it completes what was already decided, and
 * a newer proposer may have raised the engine's fencing floor in the meantime.
 *
 * @returns the reason for the refusal, or `CARRIED_OUT`
 */
async function sendOrderUntil(
	deps: RankVoterDeps,
	order: EngineOrder,
	isFinal: (reason: string) => boolean,
): Promise<string | undefined> {
	while (!deps.signal.aborted) {
		// eslint-disable-next-line no-await-in-loop
		const reason = toDefiniteReason(await deps.engine.order(order, deps.floor.highestToken()));
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

function toDefiniteReason(reply: Result<void, EngineError>): string | undefined {
	if (reply.ok) {
		return CARRIED_OUT;
	}

	return reply.error.tag === 'refused' ? reply.error.reason : undefined;
}
