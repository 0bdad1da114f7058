/** Switches all ranks of a group to a new expert map at the same forward pass. */
import type {Clock} from '../core/clock.js';
import {invariant} from '../core/invariant.js';
import type {Log} from '../observability/log.js';
import type {
	GroupExperts, RankEngine, RankOrder, RankState,
} from '../ports/rank-engine.js';
import {getAnchorRank, PLANNER_RANK, type GroupRanks} from './group-ranks.js';
import {
	ARM_TIMEOUT_MILLIS, HOLD_TIMEOUT_MILLIS, LEAD_STEPS, EXTRA_LEAD_STEPS_PER_MISS, ORDER_POLL_INTERVAL_MILLIS, MAX_HOLD_ATTEMPTS, PREPARE_SLACK_MILLIS, RELEASE_TIMEOUT_MILLIS,
} from './map-switch-constants.js';

/** Dependencies of a switch. */
export type SwitchDeps = Readonly<{
	ranks: GroupRanks;
	clock: Clock;
	log: Log;
	/** Allocates a version that no other proposal ever uses; undefined if none could be allocated. */
	takeVersion: () => Promise<number | undefined>;
	/** Reserves a pass for the last allocated version; false if there is a newer proposal or if this or a later pass is reserved. */
	reserveStep: (epoch: number, step: number) => Promise<boolean>;
}>;

/** How a switch ended. `unfinished`: ranks may be held or armed, so it must be recovered before anything else. */
export type SwitchOutcome
	= | Readonly<{tag: 'switched'; version: number; step: number; tookMillis: number}>
		| Readonly<{tag: 'not_begun'; reason: string}>
		| Readonly<{tag: 'unfinished'; version: number; reason: string}>;

/** Target of a switch. */
export type SwitchPlan = Readonly<{
	epoch: number;
	experts: GroupExperts;
	/** Active map. */
	base: GroupExperts;
	/** Time that the slowest rank needs for copying experts, in milliseconds. */
	copyMillis: number;
}>;

/** Effect of an order at a rank: seen, refused, or neither in time. */
type OrderEffect = 'done' | 'refused' | 'late';

/** Expected effect of an order. */
type ExpectedEffect = Readonly<{
	epoch: number;
	timeoutMillis: number;
	/** Least time that the order takes, in milliseconds. */
	minMillis?: number;
	isDone: (state: RankState) => boolean;
}>;

/**
 * Sends an order to a rank until the rank shows its effect, and again while it is unanswered. An unanswered order may be executed
 * at any later time, which is harmless because each order names a version or pass of its own.
 */
async function executeOrder({clock}: SwitchDeps, engine: RankEngine, order: RankOrder, expected: ExpectedEffect): Promise<OrderEffect> {
	const {epoch, timeoutMillis, minMillis = 0, isDone} = expected;
	const dueMillis = clock.monotonicMillis() + timeoutMillis;
	let isAccepted = false;
	let mayHaveTakenEffect = false;
	/* eslint-disable no-await-in-loop -- Steps run sequentially. */
	for (;;) {
		if (!isAccepted) {
			const {tag} = await engine.order(order, epoch);
			if (tag === 'done') {
				return 'done';
			}

			// If an earlier order may have been executed, a refusal may mean that it was.
			if (tag === 'refused' && !mayHaveTakenEffect) {
				return 'refused';
			}

			isAccepted = tag === 'accepted';
			mayHaveTakenEffect = true;
			await clock.sleep(minMillis);
		}

		const state = await engine.readState();
		if (state.ok && state.value.group.epoch !== epoch) {
			return 'refused';
		}

		if (state.ok && isDone(state.value)) {
			return 'done';
		}

		if (clock.monotonicMillis() >= dueMillis) {
			return 'late';
		}

		await clock.sleep(ORDER_POLL_INTERVAL_MILLIS);
	}
	/* eslint-enable no-await-in-loop */
}

/** Executes an order at several ranks concurrently and returns the worst effect. */
async function executeOrderAtAll(deps: SwitchDeps, ranks: GroupRanks, order: RankOrder, expected: ExpectedEffect): Promise<OrderEffect> {
	const ends = await Promise.all(ranks.map(async engine => executeOrder(deps, engine, order, expected)));
	return (['refused', 'late'] as const).find(end => ends.includes(end)) ?? 'done';
}

type HoldOutcome = Readonly<{tag: 'held'; step: number}> | Readonly<{tag: 'not_held'; mayHold: boolean}>;

/** Holds the anchor rank at a pass that no proposal has reserved before. */
async function holdAnchor(deps: SwitchDeps, anchor: RankEngine, epoch: number): Promise<HoldOutcome> {
	let lead = LEAD_STEPS;
	/* eslint-disable no-await-in-loop -- A later pass is tried only if the hold came too late for the previous one. */
	for (let i = 0; i < MAX_HOLD_ATTEMPTS; i++) {
		const state = await anchor.readState();
		if (!state.ok || state.value.group.epoch !== epoch || state.value.heldStep !== undefined) {
			return {tag: 'not_held', mayHold: false};
		}

		const step = state.value.step + lead;
		if (!await deps.reserveStep(epoch, step)) {
			return {tag: 'not_held', mayHold: false};
		}

		const end = await executeOrder(deps, anchor, {tag: 'hold', step}, {
			epoch, timeoutMillis: HOLD_TIMEOUT_MILLIS, isDone: ({heldStep}) => heldStep === step,
		});
		if (end === 'done') {
			return {tag: 'held', step};
		}

		if (end === 'late') {
			return {tag: 'not_held', mayHold: true};
		}

		lead += EXTRA_LEAD_STEPS_PER_MISS;
	}
	/* eslint-enable no-await-in-loop */

	return {tag: 'not_held', mayHold: false};
}

/** Runs a switch until it completes or a step fails. */
export async function switchMap(deps: SwitchDeps, plan: SwitchPlan): Promise<SwitchOutcome> {
	const {clock, log, ranks} = deps;
	const {epoch, experts, base, copyMillis} = plan;
	const anchor = ranks[getAnchorRank(ranks.length)];
	invariant(anchor, 'rank group has an anchor rank');
	const startedAtMillis = clock.monotonicMillis();
	const version = await deps.takeVersion();
	if (version === undefined) {
		return {tag: 'not_begun', reason: 'no version'};
	}

	const prepared = await executeOrderAtAll(deps, ranks, {
		tag: 'prepare', version, experts, base,
	}, {
		epoch, timeoutMillis: copyMillis + PREPARE_SLACK_MILLIS, minMillis: copyMillis, isDone: ({preparedVersion}) => preparedVersion === version,
	});
	if (prepared !== 'done') {
		return {tag: 'not_begun', reason: `prepare ${prepared}`};
	}

	const preparedAtMillis = clock.monotonicMillis();
	const held = await holdAnchor(deps, anchor, epoch);
	if (held.tag === 'not_held') {
		return held.mayHold ? {tag: 'unfinished', version, reason: 'hold not confirmed'} : {tag: 'not_begun', reason: 'no hold'};
	}

	const {step} = held;
	const arm = async (armedRanks: GroupRanks) => executeOrderAtAll(deps, armedRanks, {tag: 'arm', version, step}, {
		epoch, timeoutMillis: ARM_TIMEOUT_MILLIS, isDone: ({armed: own}) => own?.version === version && own.step === step,
	});
	// Recovery without the planner's rank relies on this rank being armed last.
	const others = await arm(ranks.filter((_, rank) => rank !== PLANNER_RANK));
	const armed = others === 'done' ? await arm(ranks.slice(PLANNER_RANK, PLANNER_RANK + 1)) : others;
	if (armed !== 'done') {
		return {tag: 'unfinished', version, reason: `arm ${armed}`};
	}

	// All ranks were seen armed, so none can become the witness that is required to abort the switch.
	const released = await executeOrder(deps, anchor, {tag: 'go', step}, {
		epoch, timeoutMillis: RELEASE_TIMEOUT_MILLIS, isDone: ({heldStep}) => heldStep !== step,
	});
	if (released !== 'done') {
		return {tag: 'unfinished', version, reason: `release ${released}`};
	}

	const nowMillis = clock.monotonicMillis();
	log.debug('map switch steps', {
		version, step, prepareMillis: Math.round(preparedAtMillis - startedAtMillis), armMillis: Math.round(nowMillis - preparedAtMillis),
	});
	return {
		tag: 'switched', version, step, tookMillis: nowMillis - startedAtMillis,
	};
}
