/** Switches all ranks of a group to a new expert map at the same forward pass. */
import type {Clock} from '../core/clock.js';
import {invariant} from '../core/invariant.js';
import {sum} from '../decisions/sum.js';
import type {Log} from '../observability/log.js';
import type {
	GroupExperts, OrderOutcome, RankEngine, RankOrder, RankState,
} from '../ports/rank-engine.js';
import {getAnchorRank, PLANNER_RANK, type GroupRanks} from './group-ranks.js';
import {
	ARM_POLL_INTERVAL_MILLIS, ARM_TIMEOUT_MILLIS, HOLD_TIMEOUT_MILLIS, EXTRA_LEAD_STEPS_PER_MISS, ORDER_POLL_INTERVAL_MILLIS, MAX_HOLD_ATTEMPTS, PREPARE_SLACK_MILLIS, RELEASE_TIMEOUT_MILLIS, TIMER_CHECK_INTERVAL_MILLIS,
} from './map-switch-constants.js';
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
}>;

/** Effect of an order at a rank: seen, refused, or neither in time. */
type OrderEffect = 'done' | 'refused' | 'late';

/** Effect of an order, and how often it was sent. */
type OrderEnd = Readonly<{effect: OrderEffect; sends: number}>;

/** Expected effect of an order. */
type ExpectedEffect = Readonly<{
	epoch: number;
	timeoutMillis: number;
	/** Least time that the order takes, in milliseconds. */
	minMillis?: number;
	pollMillis?: number;
	isDone: (state: RankState) => boolean;
}>;

/** Resolves to the value, or to undefined once the time is over. */
async function waitAtMost<T>(clock: Clock, value: Promise<T>, millis: number): Promise<T | undefined> {
	const settled = new AbortController();
	const timeout = clock.sleep(millis, settled.signal).then(() => undefined);
	return Promise.race([value, timeout]).finally(() => {
		settled.abort();
	});
}

/** Sends an order once; undefined if no answer came in the usual time of one. */
async function sendOnce({clock, timing}: SwitchDeps, engine: RankEngine, order: RankOrder, epoch: number): Promise<OrderOutcome['tag'] | undefined> {
	const sentAtMillis = clock.monotonicMillis();
	const outcome = await waitAtMost(clock, engine.order(order, epoch), timing.readAnswerTimeoutMillis());
	if (outcome?.tag === 'done' || outcome?.tag === 'accepted') {
		timing.noteAnswer(clock.monotonicMillis() - sentAtMillis);
	}

	return outcome?.tag;
}

/** Reads whether a rank shows the effect of an order; undefined if it does not yet. */
async function readEffect(engine: RankEngine, {epoch, isDone}: ExpectedEffect): Promise<OrderEffect | undefined> {
	const state = await engine.readState();
	if (state.ok && state.value.group.epoch !== epoch) {
		return 'refused';
	}

	return state.ok && isDone(state.value) ? 'done' : undefined;
}

/**
 * Sends an order to a rank until the rank shows its effect, and again while it is unanswered: after the usual time of an answer, if the
 * rank does not show the effect. An unanswered order may be executed at any later time, which is harmless because each order
 * names a version or pass of its own.
 */
async function executeOrder(deps: SwitchDeps, engine: RankEngine, order: RankOrder, expected: ExpectedEffect): Promise<OrderEnd> {
	const {clock} = deps;
	const {epoch, timeoutMillis, minMillis = 0, pollMillis = ORDER_POLL_INTERVAL_MILLIS} = expected;
	const dueMillis = clock.monotonicMillis() + timeoutMillis;
	let sends = 0;
	/* eslint-disable no-await-in-loop -- Steps run sequentially. */
	for (let isAccepted = false; ;) {
		if (!isAccepted) {
			const answer = await sendOnce(deps, engine, order, epoch);
			sends++;
			// If an earlier order may have been executed, a refusal may mean that it was.
			if (answer === 'done' || (answer === 'refused' && sends === 1)) {
				return {effect: answer, sends};
			}

			isAccepted = answer === 'accepted';
			await clock.sleep(isAccepted ? minMillis : ARM_POLL_INTERVAL_MILLIS);
		}

		const effect = await readEffect(engine, expected);
		if (effect) {
			return {effect, sends};
		}

		if (clock.monotonicMillis() >= dueMillis) {
			return {effect: 'late', sends};
		}

		if (isAccepted) {
			await clock.sleep(pollMillis);
		}
	}
	/* eslint-enable no-await-in-loop */
}

/** Measures until the returned function is called by how much timers of this process fire late at most, in milliseconds: its processor is busy then. */
function measureTimerDelay(clock: Clock): () => number {
	const ended = new AbortController();
	let longestMillis = 0;
	const measure = async () => {
		/* eslint-disable no-await-in-loop -- Sleeps are sequential. */
		for (let dueMillis = clock.monotonicMillis(); !ended.signal.aborted;) {
			dueMillis = clock.monotonicMillis() + TIMER_CHECK_INTERVAL_MILLIS;
			await clock.sleep(TIMER_CHECK_INTERVAL_MILLIS, ended.signal);
			longestMillis = Math.max(longestMillis, clock.monotonicMillis() - dueMillis);
		}
		/* eslint-enable no-await-in-loop */
	};

	void measure();
	return () => {
		ended.abort();
		return Math.round(longestMillis);
	};
}

/** Executes an order at several ranks concurrently and returns the worst effect, and the most sends to one of them. */
async function executeOrderAtAll(deps: SwitchDeps, ranks: GroupRanks, order: RankOrder, expected: ExpectedEffect): Promise<OrderEnd> {
	const {clock, log, timing} = deps;
	const startedAtMillis = clock.monotonicMillis();
	const endMeasurement = measureTimerDelay(clock);
	const doneAtMillis: number[] = [];
	const ends = await Promise.all(ranks.map(async engine => {
		const end = await executeOrder(deps, engine, order, expected);
		doneAtMillis.push(...(end.effect === 'done' ? [clock.monotonicMillis() - startedAtMillis] : []));
		return end;
	}));
	log.debug('map orders', {
		order: order.tag,
		version: 'version' in order ? order.version : undefined,
		ranks: ranks.length,
		done: doneAtMillis.length,
		sends: sum(ends.map(({sends}) => sends)),
		tookMillis: Math.round(clock.monotonicMillis() - startedAtMillis),
		medianMillis: Math.round(doneAtMillis[Math.floor(doneAtMillis.length / 2)] ?? 0),
		lastMillis: Math.round(doneAtMillis.at(-1) ?? 0),
		answerTimeoutMillis: Math.round(timing.readAnswerTimeoutMillis()),
		timerDelayMillis: endMeasurement(),
	});
	return {
		effect: (['refused', 'late'] as const).find(worst => ends.some(({effect}) => effect === worst)) ?? 'done',
		sends: Math.max(0, ...ends.map(({sends}) => sends)),
	};
}

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
type HoldTerms = Readonly<{epoch: number; before: StepReading | undefined; sends: number}>;

/** Holds the anchor rank at a pass that no proposal has named before. */
async function holdAnchor(deps: SwitchDeps, anchor: RankEngine, {epoch, before, sends}: HoldTerms): Promise<HoldOutcome> {
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
		const step = deps.chooseStep(epoch, begun + deps.timing.chooseLeadSteps(passMillis, sends) + extraSteps);
		if (step === undefined) {
			return {tag: 'not_held', mayHold: false};
		}

		const {effect} = await executeOrder(deps, anchor, {tag: 'hold', step}, {
			epoch, timeoutMillis: HOLD_TIMEOUT_MILLIS, pollMillis: ARM_POLL_INTERVAL_MILLIS, isDone: ({heldStep}) => heldStep === step,
		});
		if (effect === 'done') {
			return {tag: 'held', step, dueMillis: nowMillis + ((step - begun) * (passMillis ?? Infinity))};
		}

		if (effect === 'late') {
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
		const {effect} = await executeOrderAtAll(deps, armed, order, expected);
		if (effect !== 'done') {
			return effect;
		}
	}

	return 'done';
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
		executeOrderAtAll(deps, ranks, {
			tag: 'prepare', version, experts, base,
		}, {
			epoch, timeoutMillis: copyMillis + PREPARE_SLACK_MILLIS, minMillis: copyMillis, isDone: ({preparedVersion}) => preparedVersion === version,
		}),
	]);
	if (prepared.effect !== 'done') {
		return {tag: 'not_begun', reason: `prepare ${prepared.effect}`};
	}

	const preparedAtMillis = clock.monotonicMillis();
	const held = await holdAnchor(deps, anchor, {epoch, before, sends: prepared.sends});
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
	const released = await executeOrder(deps, anchor, {tag: 'go', step}, {
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
