/**
 * Executes an order at several ranks of a group. The proposer's processor may be busy with the calls of one round for longer than a rank takes to
 * answer. So an order counts as unanswered only once no rank at all has answered for a while, and an answer counts whenever it arrives: orders that
 * are sent again, and states that are read, delay the answers further.
 */
import type {Clock} from '../core/clock.js';
import {sum} from '../decisions/sum.js';
import type {Log} from '../observability/log.js';
import type {
	OrderOutcome, RankEngine, RankOrder, RankState,
} from '../ports/rank-engine.js';
import type {GroupRanks} from './group-ranks.js';
import {MAX_AWAITED_ORDERS} from './map-switch-constants.js';
import {createQuietTimer, type QuietTimer} from './quiet-timer.js';
import type {SwitchTiming} from './switch-timing.js';

/** Dependencies of a round. */
export type OrderRoundDeps = Readonly<{clock: Clock; log: Log; timing: SwitchTiming}>;

/** Effect of an order at a rank: seen, refused, or neither in time. */
export type OrderEffect = 'done' | 'refused' | 'late';

/** Expected effect of an order. */
export type ExpectedEffect = Readonly<{
	epoch: number;
	timeoutMillis: number;
	/** Least time that the order takes, in milliseconds. */
	minMillis?: number;
	/** Interval between reads of a rank that has accepted the order, in milliseconds. */
	pollMillis: number;
	/** Whether the round goes on at the other ranks after one has refused the order. */
	outlastsRefusal?: boolean;
	isDone: (state: RankState) => boolean;
}>;

/** How a round has ended. */
export type OrderRoundEnd = Readonly<{
	/** The worst effect at any rank. */
	effect: OrderEffect;
	/** How often the order was sent, to the rank that needed most. */
	sends: number;
	/** Time from the first order until all ranks had answered one, in milliseconds; the duration of the round if some have not. */
	answeredMillis: number;
}>;

/** An order at one rank. */
type RankRun = {
	readonly engine: RankEngine;
	sends: number;
	effect: OrderEffect | undefined;
	/** Whether its first order is awaited; after a while without any answer it is not, and is sent again. */
	isAwaited: boolean;
	/** Whether the rank has answered that the order has begun. */
	isAccepted: boolean;
	/** Monotonic time at which its state is read next; undefined while it is not to be read. */
	readAtMillis: number | undefined;
};

/** Worst effect at any of the ranks. */
function findWorst(runs: readonly RankRun[]): OrderEffect {
	return (['refused', 'late'] as const).find(worst => runs.some(({effect}) => effect === worst)) ?? 'done';
}

/** Sends an order to all ranks until each shows its effect, and again to those that have not answered while no other did. */
export async function executeOrderRound({clock, log, timing}: OrderRoundDeps, ranks: GroupRanks, order: RankOrder, expected: ExpectedEffect): Promise<OrderRoundEnd> {
	const {epoch, timeoutMillis, minMillis = 0, pollMillis, outlastsRefusal = false, isDone} = expected;
	const startedAtMillis = clock.monotonicMillis();
	const ended = new AbortController();
	const quiet: QuietTimer = createQuietTimer(clock);
	const runs = ranks.map((engine): RankRun => ({
		engine, sends: 0, effect: undefined, isAwaited: false, isAccepted: false, readAtMillis: undefined,
	}));
	const doneAtMillis: number[] = [];
	let answeredMillis: number | undefined;
	let longestGapMillis = 0;

	const readElapsedMillis = () => clock.monotonicMillis() - startedAtMillis;

	function finish(run: RankRun, effect: OrderEffect): void {
		if (run.effect !== undefined) {
			return;
		}

		run.effect = effect;
		if (effect === 'done') {
			doneAtMillis.push(readElapsedMillis());
		}

		if ((effect === 'refused' && !outlastsRefusal) || runs.every(other => other.effect !== undefined)) {
			ended.abort();
		}
	}

	function noteAnswer(run: RankRun, outcome: OrderOutcome): void {
		longestGapMillis = Math.max(longestGapMillis, quiet.readMillis() - minMillis);
		quiet.restart();
		switch (outcome.tag) {
			case 'done': {
				finish(run, 'done');
				break;
			}

			case 'accepted': {
				run.isAccepted = true;
				run.readAtMillis ??= clock.monotonicMillis() + minMillis;
				break;
			}

			case 'refused': {
				// If an earlier order may have been executed, a refusal may mean that it was.
				if (run.sends === 1) {
					finish(run, 'refused');
				} else {
					run.readAtMillis ??= clock.monotonicMillis();
				}

				break;
			}

			case 'unknown': {
				break;
			}
		}

		if (runs.every(other => other.isAccepted || other.effect !== undefined)) {
			answeredMillis ??= readElapsedMillis();
		}
	}

	async function send(run: RankRun): Promise<void> {
		run.sends++;
		const outcome = await run.engine.order(order, epoch);
		run.isAwaited = false;
		if (run.effect === undefined) {
			noteAnswer(run, outcome);
		}

		sendNext();
	}

	/** Sends first orders while few are awaited, so that answers are read between them; at once if the ranks need time for them. */
	function sendNext(): void {
		const awaited = runs.filter(({isAwaited}) => isAwaited).length;
		const unsent = ended.signal.aborted ? [] : runs.filter(({sends}) => sends === 0);
		for (const run of unsent.slice(0, minMillis > 0 ? unsent.length : Math.max(0, MAX_AWAITED_ORDERS - awaited))) {
			run.isAwaited = true;
			void send(run);
		}
	}

	/** Reads whether a rank shows the effect of the order. */
	async function look(run: RankRun): Promise<void> {
		run.readAtMillis = undefined;
		const state = await run.engine.readState();
		quiet.restart();
		if (state.ok && state.value.group.epoch !== epoch) {
			finish(run, 'refused');
		} else if (state.ok && isDone(state.value)) {
			finish(run, 'done');
		} else if (run.isAccepted) {
			run.readAtMillis = clock.monotonicMillis() + pollMillis;
		}
	}

	/** Reads a rank that has not answered, and sends it the order again unless it shows the effect. */
	async function retry(run: RankRun): Promise<void> {
		await look(run);
		if (run.effect === undefined && !run.isAccepted) {
			await send(run);
		}
	}

	const untilEnded = quiet.register(ended.signal, quietMillis => {
		const nowMillis = clock.monotonicMillis();
		const open = runs.filter(({effect}) => effect === undefined);
		if (readElapsedMillis() >= timeoutMillis) {
			for (const run of open) {
				finish(run, 'late');
			}

			return;
		}

		for (const run of open.filter(({readAtMillis}) => readAtMillis !== undefined && readAtMillis <= nowMillis)) {
			void look(run);
		}

		if (quietMillis >= timing.readAnswerTimeoutMillis() + minMillis) {
			quiet.restart();
			for (const run of open.filter(({isAccepted, sends}) => !isAccepted && sends > 0)) {
				run.isAwaited = false;
				void retry(run);
			}

			sendNext();
		}
	});
	sendNext();
	await untilEnded;
	if (answeredMillis !== undefined) {
		timing.noteAnswer(longestGapMillis);
	}

	log.debug('map orders', {
		order: order.tag,
		version: 'version' in order ? order.version : undefined,
		ranks: ranks.length,
		done: doneAtMillis.length,
		sends: sum(runs.map(({sends}) => sends)),
		tookMillis: Math.round(readElapsedMillis()),
		medianMillis: Math.round(doneAtMillis[Math.floor(doneAtMillis.length / 2)] ?? 0),
		lastMillis: Math.round(doneAtMillis.at(-1) ?? 0),
		answerTimeoutMillis: Math.round(timing.readAnswerTimeoutMillis()),
		timerDelayMillis: Math.round(quiet.readLongestDelayMillis()),
	});
	return {effect: findWorst(runs), sends: Math.max(0, ...runs.map(({sends}) => sends)), answeredMillis: answeredMillis ?? readElapsedMillis()};
}
