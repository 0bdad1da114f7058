/** Tells the entries which ranks of a group are slow; runs in the planner, which reads the state of all ranks anyway. */
import type {Clock} from '../core/clock.js';
import type {GroupState} from '../map-switch/group-ranks.js';
import type {Log} from '../observability/log.js';
import type {TableStore} from '../ports/table-store.js';
import {chooseSlowRanks} from './choose-slow-ranks.js';
import {SLOW_RANK_RENEWAL_MILLIS, SLOW_RANK_TABLE} from './slow-rank-row.js';

/** Publisher for one group. */
export type SlowRankPublisher = Readonly<{
	/** Writes the slow ranks to the store where they have changed, and again after a while. Resolves when the store has answered. */
	publish: (state: GroupState) => Promise<void>;
}>;

type Deps = Readonly<{clock: Clock; log: Log; table: Pick<TableStore, 'transact'>; group: string}>;

/** What was written last. */
type Written = Readonly<{epoch: number; ranks: readonly number[]; atMillis: number}>;

/** Creates a publisher that has not written anything. */
export function createSlowRankPublisher({clock, log, table, group}: Deps): SlowRankPublisher {
	let written: Written | undefined;
	let slow: readonly number[] = [];
	let isWriting = false;

	function isDue(epoch: number): boolean {
		if (!written) {
			return slow.length > 0;
		}

		const isChanged = written.ranks.join(' ') !== slow.join(' ') || (written.epoch !== epoch && slow.length > 0);
		return isChanged || (slow.length > 0 && clock.monotonicMillis() - written.atMillis >= SLOW_RANK_RENEWAL_MILLIS);
	}

	return {
		async publish({epoch, ranks}) {
			const before = slow;
			slow = chooseSlowRanks(ranks.map(({slowFactor}) => slowFactor), before);
			if (before.join(' ') !== slow.join(' ')) {
				log.info('slow ranks', {
					group, epoch, ranks: slow.join(' '), factors: slow.map(rank => ranks[rank]?.slowFactor).join(' '),
				});
			}

			if (isWriting || !isDue(epoch)) {
				return;
			}

			isWriting = true;
			const next = {epoch, ranks: slow, atMillis: clock.monotonicMillis()};
			const outcome = await table.transact({conditions: [], writes: [{table: SLOW_RANK_TABLE, key: group, value: {epoch, ranks: slow}}]});
			isWriting = false;
			if (outcome.ok) {
				written = next;
			} else {
				log.info('slow ranks could not be written', {group, error: outcome.error.tag});
			}
		},
	};
}
