/** Puts a new expert map into force at all ranks of a group at the same pass. */
import type {Clock} from '../core/clock.js';
import type {Log} from '../observability/log.js';
import type {GroupExperts, OrderOutcome, RankState} from '../ports/rank-engine.js';
import {
	isGroupState, listRanks, orderRanks, readGroupState, type GroupRanks, type GroupState,
} from './group-ranks.js';
import {
	ARM_TIMEOUT_MILLIS, HOLD_TIMEOUT_MILLIS, LEAD_STEPS, LEAD_STEPS_AFTER_MISS, LOOK_MILLIS, MAX_HOLD_TRIES, PREPARE_SLACK_MILLIS,
} from './map-switch-constants.js';

/** What a switch needs. */
export type SwitchDeps = Readonly<{
	ranks: GroupRanks;
	clock: Clock;
	log: Log;
	/** A version that nobody has used or will use; undefined when none can be had. */
	takeVersion: () => Promise<number | undefined>;
	/** Reserves a pass for the version taken last: false when another proposal came since, or named it or a later one. */
	reserveStep: (epoch: number, step: number) => Promise<boolean>;
}>;

/** How a switch ended. `unfinished`: ranks may be held or armed; end it before anything else. */
export type SwitchOutcome
	= | Readonly<{tag: 'switched'; version: number; step: number; tookMillis: number}>
		| Readonly<{tag: 'not_begun'; reason: string}>
		| Readonly<{tag: 'unfinished'; version: number; reason: string}>;

/** What to switch to. */
export type SwitchPlan = Readonly<{
	epoch: number;
	experts: GroupExperts;
	/** Time that the slowest rank needs to copy, in milliseconds. */
	copyMillis: number;
}>;

function isRefused(outcomes: readonly OrderOutcome[]): boolean {
	return outcomes.some(({tag}) => tag === 'refused');
}

/** Looks at the group until all ranks meet the condition; undefined when they do not in time or the epoch changes. */
async function waitForRanks(
	{ranks, clock}: SwitchDeps,
	epoch: number,
	timeoutMillis: number,
	condition: (state: RankState, rank: number) => boolean,
): Promise<GroupState | undefined> {
	const dueMillis = clock.monotonicMillis() + timeoutMillis;
	/* eslint-disable no-await-in-loop -- One look after the other. */
	for (;;) {
		const state = await readGroupState(ranks);
		if (isGroupState(state)) {
			if (state.epoch !== epoch) {
				return undefined;
			}

			if (state.ranks.every((rank, index) => condition(rank, index))) {
				return state;
			}
		}

		if (clock.monotonicMillis() >= dueMillis) {
			return undefined;
		}

		await clock.sleep(LOOK_MILLIS);
	}
	/* eslint-enable no-await-in-loop */
}

type Held = Readonly<{tag: 'held'; step: number}> | Readonly<{tag: 'not_held'; mayHold: boolean}>;

/** Holds the anchor rank at a pass that no proposal has named before. */
async function holdAnchor(deps: SwitchDeps, epoch: number): Promise<Held> {
	let lead = LEAD_STEPS;
	/* eslint-disable no-await-in-loop -- A later pass is tried only when the one before came too late. */
	for (let i = 0; i < MAX_HOLD_TRIES; i++) {
		const anchor = await deps.ranks[0]?.readState();
		if (!anchor?.ok || anchor.value.group.epoch !== epoch || anchor.value.heldStep !== undefined) {
			return {tag: 'not_held', mayHold: false};
		}

		const step = anchor.value.step + lead;
		if (!await deps.reserveStep(epoch, step)) {
			return {tag: 'not_held', mayHold: false};
		}

		const [outcome] = await orderRanks(deps.ranks, [0], {tag: 'hold', step}, epoch);
		if (outcome?.tag === 'refused') {
			lead += LEAD_STEPS_AFTER_MISS;
			continue;
		}

		const state = await waitForRanks(deps, epoch, HOLD_TIMEOUT_MILLIS, (rank, index) => index > 0 || rank.heldStep === step);
		return state ? {tag: 'held', step} : {tag: 'not_held', mayHold: true};
	}
	/* eslint-enable no-await-in-loop */

	return {tag: 'not_held', mayHold: false};
}

/** Copies the experts to all ranks; why not, otherwise. */
async function prepareRanks(deps: SwitchDeps, plan: SwitchPlan, version: number): Promise<string | undefined> {
	const all = deps.ranks.map((_, rank) => rank);
	const outcomes = await orderRanks(deps.ranks, all, {tag: 'prepare', version, experts: plan.experts}, plan.epoch);
	if (isRefused(outcomes)) {
		return `prepare refused: ${outcomes.find(({tag}) => tag === 'refused')?.detail ?? ''}`;
	}

	const prepared = await waitForRanks(deps, plan.epoch, plan.copyMillis + PREPARE_SLACK_MILLIS, rank => rank.preparedVersion === version);
	return prepared ? undefined : 'not prepared in time';
}

/** Runs a switch to its end or to the first step that fails. */
export async function switchMap(deps: SwitchDeps, plan: SwitchPlan): Promise<SwitchOutcome> {
	const {ranks, clock, log} = deps;
	const {epoch} = plan;
	const startedAtMillis = clock.monotonicMillis();
	const version = await deps.takeVersion();
	if (version === undefined) {
		return {tag: 'not_begun', reason: 'no version'};
	}

	const notPrepared = await prepareRanks(deps, plan, version);
	if (notPrepared !== undefined) {
		return {tag: 'not_begun', reason: notPrepared};
	}

	const preparedAtMillis = clock.monotonicMillis();
	const held = await holdAnchor(deps, epoch);
	if (held.tag === 'not_held') {
		return held.mayHold ? {tag: 'unfinished', version, reason: 'hold not confirmed'} : {tag: 'not_begun', reason: 'no hold'};
	}

	const {step} = held;
	const all = ranks.map((_, rank) => rank);
	const outcomes = await orderRanks(ranks, all, {tag: 'arm', version, step}, epoch);
	if (isRefused(outcomes)) {
		return {tag: 'unfinished', version, reason: 'arm refused'};
	}

	const armed = await waitForRanks(deps, epoch, ARM_TIMEOUT_MILLIS, ({armed: own}) => own?.version === version && own.step === step);
	if (!armed || listRanks(armed, rank => rank.armed === undefined).length > 0) {
		return {tag: 'unfinished', version, reason: 'not armed in time'};
	}

	const [released] = await orderRanks(ranks, [0], {tag: 'go', step}, epoch);
	if (released?.tag !== 'accepted') {
		return {tag: 'unfinished', version, reason: 'release not confirmed'};
	}

	const nowMillis = clock.monotonicMillis();
	log.debug('map switch steps', {
		version, step, prepareMillis: Math.round(preparedAtMillis - startedAtMillis), armMillis: Math.round(nowMillis - preparedAtMillis),
	});
	return {
		tag: 'switched', version, step, tookMillis: nowMillis - startedAtMillis,
	};
}
