/** Switches all ranks of a group to a new expert map at the same forward pass. */
import type {Clock} from '../core/clock.js';
import {invariant} from '../core/invariant.js';
import {sum} from '../decisions/sum.js';
import type {Log} from '../observability/log.js';
import type {GroupExperts, RankEngine, RankOrder} from '../ports/rank-engine.js';
import {getAnchorRank, PLANNER_RANK, type GroupRanks} from './group-ranks.js';
import {
	ARM_POLL_INTERVAL_MILLIS, ARM_TIMEOUT_MILLIS, HOLD_TIMEOUT_MILLIS, EXTRA_LEAD_STEPS_PER_MISS, ORDER_POLL_INTERVAL_MILLIS, MAX_HOLD_ATTEMPTS, PREPARE_SLACK_MILLIS, RELEASE_TIMEOUT_MILLIS,
} from './map-switch-constants.js';
import {executeOrderRound, type ExpectedEffect, type OrderEffect} from './order-round.js';
import type {SwitchTiming} from './switch-timing.js';

/** Dependencies of a switch. */
export type SwitchDeps = Readonly<{
	ranks: GroupRanks;
	clock: Clock;
	log: Log;
	/** Allocates a version that no other proposal ever uses; undefined if none could be allocated. */
	takeVersion: () => Promise<number | undefined>;
	/** First pass from `earliestStep` on that no other proposal names; undefined if none can be named. */
	chooseStep: (epoch: number, earliestStep: number) => number | undefined;
	/** What the switches of this group have taken; updated by each one. */
	timing: SwitchTiming;
}>;

/** How a switch ended. `unfinished`: ranks may be held or armed, so it must be recovered before anything else. */
export type SwitchOutcome
	= | Readonly<{
		tag: 'switched';
		version: number;
		step: number;
		tookMillis: number;
		/** Estimated time for which the group was held up, in milliseconds. */
		heldMillis: number;
	}>
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
	/** Whether the load for which the experts were placed has changed since; asked before the group is held. */
	isOutdated?: () => boolean;
}>;

/** Pass that a rank had begun at some time. */
type StepReading = Readonly<{step: number; atMillis: number}>;

async function readStep({clock}: SwitchDeps, rank: RankEngine): Promise<StepReading | undefined> {
	const state = await rank.readState();
	return state.ok ? {step: state.value.step, atMillis: clock.monotonicMillis()} : undefined;
}

type HoldOutcome
	= | Readonly<{
		tag: 'held';
		step: number;
		/** Monotonic time at which the pass was expected to begin; infinite in an idle group, which makes no passes. */
		dueMillis: number;
	}>
	| Readonly<{tag: 'not_held'; mayHold: boolean}>;

/** What is known of the pace of a group before it is held. */
type HoldTerms = Readonly<{
	epoch: number;
	before: StepReading | undefined;
	/** Time until all ranks had answered the order to prepare, without the time for copying, in milliseconds. */
	answeredMillis: number;
}>;

/** Holds the anchor rank at a pass that no proposal has named before. */
async function holdAnchor(deps: SwitchDeps, anchor: RankEngine, {epoch, before, answeredMillis}: HoldTerms): Promise<HoldOutcome> {
	let extraSteps = 0;
	/* eslint-disable no-await-in-loop -- A later pass is tried only if the hold came too late for the previous one. */
	for (let i = 0; i < MAX_HOLD_ATTEMPTS; i++) {
		const state = await anchor.readState();
		const nowMillis = deps.clock.monotonicMillis();
		if (!state.ok || state.value.group.epoch !== epoch || state.value.heldStep !== undefined) {
			return {tag: 'not_held', mayHold: false};
		}

		const begun = state.value.step;
		const passMillis = before && begun > before.step ? (nowMillis - before.atMillis) / (begun - before.step) : undefined;
		const step = deps.chooseStep(epoch, begun + deps.timing.chooseLeadSteps(passMillis, answeredMillis) + extraSteps);
		if (step === undefined) {
			return {tag: 'not_held', mayHold: false};
		}

		const {effect, sends} = await executeOrderRound(deps, [anchor], {tag: 'hold', step}, {
			epoch, timeoutMillis: HOLD_TIMEOUT_MILLIS, pollMillis: ARM_POLL_INTERVAL_MILLIS, isDone: ({heldStep}) => heldStep === step,
		});
		if (effect === 'done') {
			return {tag: 'held', step, dueMillis: nowMillis + ((step - begun) * (passMillis ?? Infinity))};
		}

		// A refusal of the only order shows that the pass has begun.
		if (effect === 'late' || sends > 1) {
			return {tag: 'not_held', mayHold: true};
		}

		extraSteps += EXTRA_LEAD_STEPS_PER_MISS;
	}
	/* eslint-enable no-await-in-loop */

	return {tag: 'not_held', mayHold: false};
}

/**
 * Arms all ranks, the planner's last: recovery without the planner's rank relies on that order. The anchor is armed after the others, so that
 * a planner that stops while it sends the orders to them leaves a rank that is not armed, and the switch can be taken back.
 */
async function armAll(deps: SwitchDeps, order: RankOrder, expected: ExpectedEffect): Promise<OrderEffect> {
	const {ranks} = deps;
	const anchorRank = getAnchorRank(ranks.length);
	const successive = [
		ranks.filter((_, rank) => rank !== PLANNER_RANK && rank !== anchorRank),
		ranks.filter((_, rank) => rank !== PLANNER_RANK && rank === anchorRank),
		ranks.slice(PLANNER_RANK, PLANNER_RANK + 1),
	];
	for (const armed of successive) {
		// eslint-disable-next-line no-await-in-loop -- Ranks are armed in this order.
		const {effect} = await executeOrderRound(deps, armed, order, expected);
		if (effect !== 'done') {
			return effect;
		}
	}

	return 'done';
}

/** Ranks in the order of the experts that they have to copy, those with most first, so that all have copied them as early as possible. */
function sortByCopies(ranks: GroupRanks, {experts, base}: SwitchPlan): GroupRanks {
	const countCopies = (rank: number) => sum(experts.map((layer, i) => (layer[rank] ?? []).filter(expert => base[i]?.[rank]?.includes(expert) !== true).length));
	return [...ranks.entries()]
		.map(([rank, engine]) => ({engine, copies: countCopies(rank)}))
		.toSorted((left, right) => right.copies - left.copies)
		.map(({engine}) => engine);
}

/** Runs a switch until it completes or a step fails. */
export async function switchMap(deps: SwitchDeps, plan: SwitchPlan): Promise<SwitchOutcome> {
	const {clock, log, ranks, timing} = deps;
	const {epoch, experts, base, copyMillis} = plan;
	const anchor = ranks[getAnchorRank(ranks.length)];
	invariant(anchor, 'rank group has an anchor rank');
	const startedAtMillis = clock.monotonicMillis();
	const version = await deps.takeVersion();
	if (version === undefined) {
		return {tag: 'not_begun', reason: 'no version'};
	}

	const [before, prepared] = await Promise.all([
		readStep(deps, anchor),
		executeOrderRound(deps, sortByCopies(ranks, plan), {
			tag: 'prepare', version, experts, base,
		}, {
			epoch, timeoutMillis: copyMillis + PREPARE_SLACK_MILLIS, minMillis: copyMillis, pollMillis: ORDER_POLL_INTERVAL_MILLIS, isDone: ({preparedVersion}) => preparedVersion === version,
		}),
	]);
	if (prepared.effect !== 'done') {
		return {tag: 'not_begun', reason: `prepare ${prepared.effect}`};
	}

	if (plan.isOutdated?.() === true) {
		return {tag: 'not_begun', reason: 'load changed'};
	}

	const preparedAtMillis = clock.monotonicMillis();
	const held = await holdAnchor(deps, anchor, {epoch, before, answeredMillis: Math.max(0, prepared.answeredMillis - copyMillis)});
	if (held.tag === 'not_held') {
		return held.mayHold ? {tag: 'unfinished', version, reason: 'hold not confirmed'} : {tag: 'not_begun', reason: 'no hold'};
	}

	const {step, dueMillis} = held;
	const armed = await armAll(deps, {tag: 'arm', version, step}, {
		epoch, timeoutMillis: ARM_TIMEOUT_MILLIS, pollMillis: ARM_POLL_INTERVAL_MILLIS, isDone: ({armed: own}) => own?.version === version && own.step === step,
	});
	if (armed !== 'done') {
		return {tag: 'unfinished', version, reason: `arm ${armed}`};
	}

	// All ranks were seen armed, so none can become the witness that is required to abort the switch.
	const released = await executeOrderRound(deps, [anchor], {tag: 'go', step}, {
		epoch, timeoutMillis: RELEASE_TIMEOUT_MILLIS, pollMillis: ARM_POLL_INTERVAL_MILLIS, isDone: ({heldStep}) => heldStep !== step,
	});
	if (released.effect !== 'done') {
		return {tag: 'unfinished', version, reason: `release ${released.effect}`};
	}

	const nowMillis = clock.monotonicMillis();
	timing.noteSwitch(nowMillis - preparedAtMillis);
	const heldMillis = Math.max(0, Math.round(nowMillis - dueMillis));
	log.debug('map switch steps', {
		version, step, prepareMillis: Math.round(preparedAtMillis - startedAtMillis), armMillis: Math.round(nowMillis - preparedAtMillis), heldMillis,
	});
	return {
		tag: 'switched', version, step, tookMillis: nowMillis - startedAtMillis, heldMillis,
	};
}
