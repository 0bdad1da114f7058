/** Puts a new expert map into force at all ranks of a group at the same pass. */
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

/** How an order ended at a rank: its effect was seen, it was refused, or neither came in time. */
type Carried = 'done' | 'refused' | 'late';

/** What is expected of an order. */
type Expectation = Readonly<{
	epoch: number;
	timeoutMillis: number;
	/** Time that the order takes at least, in milliseconds. */
	leastMillis?: number;
	isDone: (state: RankState) => boolean;
}>;

/**
 * Gives an order to a rank, again while it is not answered, until the rank shows its effect. An order without an answer may be
 * carried out at any later time, which does no harm: each names a version or a pass of its own.
 */
async function carryOut({clock}: SwitchDeps, engine: RankEngine, order: RankOrder, expected: Expectation): Promise<Carried> {
	const {epoch, timeoutMillis, leastMillis = 0, isDone} = expected;
	const dueMillis = clock.monotonicMillis() + timeoutMillis;
	let isAccepted = false;
	let mayBeCarriedOut = false;
	/* eslint-disable no-await-in-loop -- One step after the other. */
	for (;;) {
		if (!isAccepted) {
			const {tag} = await engine.order(order, epoch);
			// Where an earlier one may have been carried out, a refusal may mean that it was.
			if (tag === 'refused' && !mayBeCarriedOut) {
				return 'refused';
			}

			isAccepted = tag === 'accepted';
			mayBeCarriedOut = true;
			await clock.sleep(leastMillis);
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

/** The same at several ranks at once; the worst of their ends. */
async function carryOutAtAll(deps: SwitchDeps, ranks: GroupRanks, order: RankOrder, expected: Expectation): Promise<Carried> {
	const ends = await Promise.all(ranks.map(async engine => carryOut(deps, engine, order, expected)));
	return (['refused', 'late'] as const).find(end => ends.includes(end)) ?? 'done';
}

type Held = Readonly<{tag: 'held'; step: number}> | Readonly<{tag: 'not_held'; mayHold: boolean}>;

/** Holds the anchor rank at a pass that no proposal has named before. */
async function holdAnchor(deps: SwitchDeps, anchor: RankEngine, epoch: number): Promise<Held> {
	let lead = LEAD_STEPS;
	/* eslint-disable no-await-in-loop -- A later pass is tried only when the one before came too late. */
	for (let i = 0; i < MAX_HOLD_ATTEMPTS; i++) {
		const state = await anchor.readState();
		if (!state.ok || state.value.group.epoch !== epoch || state.value.heldStep !== undefined) {
			return {tag: 'not_held', mayHold: false};
		}

		const step = state.value.step + lead;
		if (!await deps.reserveStep(epoch, step)) {
			return {tag: 'not_held', mayHold: false};
		}

		const end = await carryOut(deps, anchor, {tag: 'hold', step}, {
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

/** Runs a switch to its end or to the first step that fails. */
export async function switchMap(deps: SwitchDeps, plan: SwitchPlan): Promise<SwitchOutcome> {
	const {clock, log, ranks} = deps;
	const {epoch, experts, copyMillis} = plan;
	const anchor = ranks[getAnchorRank(ranks.length)];
	invariant(anchor, 'a group has ranks');
	const startedAtMillis = clock.monotonicMillis();
	const version = await deps.takeVersion();
	if (version === undefined) {
		return {tag: 'not_begun', reason: 'no version'};
	}

	const prepared = await carryOutAtAll(deps, ranks, {tag: 'prepare', version, experts}, {
		epoch, timeoutMillis: copyMillis + PREPARE_SLACK_MILLIS, leastMillis: copyMillis, isDone: ({preparedVersion}) => preparedVersion === version,
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
	const arm = async (armedRanks: GroupRanks) => carryOutAtAll(deps, armedRanks, {tag: 'arm', version, step}, {
		epoch, timeoutMillis: ARM_TIMEOUT_MILLIS, isDone: ({armed: own}) => own?.version === version && own.step === step,
	});
	// Whoever ends the switch without the planner's rank relies on this order.
	const others = await arm(ranks.filter((_, rank) => rank !== PLANNER_RANK));
	const armed = others === 'done' ? await arm(ranks.slice(PLANNER_RANK, PLANNER_RANK + 1)) : others;
	if (armed !== 'done') {
		return {tag: 'unfinished', version, reason: `arm ${armed}`};
	}

	// Every rank was seen armed, so none can be the witness that somebody would need to end the switch otherwise.
	const released = await carryOut(deps, anchor, {tag: 'go', step}, {
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
