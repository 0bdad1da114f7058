import {fail, succeed} from '../../core/result.js';
import type {Instance} from '../../ports/instance-list.js';
import type {Proposal, RankState} from '../../wire/generated/vote.js';
import type {RankClient} from '../rank-client.js';

/** Tokens of each expert in one step of the fake group. */
const STEP_TOKENS = [4000, 1000, 1000, 1000, 1000, 1000, 1000, 1000];
const RANKS = 4;
const SLOTS_PER_RANK = 3;
const STEPS_PER_LOOK = 100;

/** A rank group in memory that commits each proposal once it has been sent `roundsToCommit` times. */
export type FakeRankGroup = RankClient & {
	readonly proposals: Proposal[];
	/** Step at which each proposal came. */
	readonly proposalSteps: number[];
	readonly listed: Instance[];
	/** Changes what a rank reports; undefined makes it silent. */
	change: (state: RankState) => RankState | undefined;
	roundsToCommit: number;
};

/** Creates a group without a map. */
export function createFakeRankGroup(): FakeRankGroup {
	let step = 0;
	let epoch = 0;
	let slots = Array.from({length: RANKS * SLOTS_PER_RANK}, () => -1);
	let rounds = 0;

	const group: FakeRankGroup = {
		proposals: [],
		proposalSteps: [],
		change: state => state,
		roundsToCommit: 2,
		listed: Array.from({length: RANKS}, (_, rank) => ({
			id: `agent-${rank}`, role: 'agent', region: 'r', failureDomain: 'd', state: 'live', callerUrl: '', linkAddress: `10.0.0.${rank}:1`, service: 'model', group: 'g', rank,
		})),
		async readRank(address) {
			const rank = Number(address.split(':')[0]?.split('.')[3]);
			step += rank === 0 ? STEPS_PER_LOOK : 0;
			const state = group.change({
				group: 'g',
				groupIncarnation: 'i1',
				rank,
				agentId: `agent-${rank}`,
				agentIncarnation: `run-${rank}`,
				step,
				mapEpoch: epoch,
				stepMillis: 10,
				reportAgeMillis: 0,
				layers: [{tokens: rank === 0 ? STEP_TOKENS.map(tokens => tokens * STEPS_PER_LOOK) : STEP_TOKENS.map(() => 0)}],
				map: {layers: [{slotsPerRank: SLOTS_PER_RANK, slots}]},
				checksFencing: true,
				pending: false,
			});
			return state ? succeed(state) : fail({tag: 'no_answer', detail: 'silent'});
		},
		async propose(_address, proposal) {
			if (group.proposals.at(-1)?.epoch !== proposal.epoch) {
				group.proposals.push(proposal);
				group.proposalSteps.push(step);
				rounds = 0;
			}

			rounds++;
			const isCommitted = rounds >= group.roundsToCommit * RANKS;
			if (isCommitted) {
				epoch = proposal.epoch;
				slots = [...proposal.map?.layers[0]?.slots ?? []];
			}

			return succeed({
				group: 'g', epoch: proposal.epoch, rank: 0, agentIncarnation: '', vote: 'yes', outcome: isCommitted ? 'committed' : 'unknown',
				proposal,
				fencingFloor: proposal.fencingToken,
			});
		},
		close() {
			// Nothing is open.
		},
	};
	return group;
}
