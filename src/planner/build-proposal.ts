import type {ExpertMap} from '../ports/model-engine.js';
import type {Proposal} from '../wire/generated/vote.js';
import type {GroupView} from './group-view.js';

/** Number of epochs reserved for each fencing token. */
const EPOCHS_PER_TOKEN = 1_000_000;
/** Time allowed for sending a proposal and for the votes, in milliseconds. */
const VOTE_TIME_MILLIS = 1500;
/** Share of the loading time that is added in case the weight store is slower than expected. */
const LOADING_MARGIN = 0.5;
/** Step time assumed for a group that reports none, in milliseconds. */
const FALLBACK_STEP_MILLIS = 5;
/** Minimum number of steps between a proposal and its first step. */
const MIN_STEPS_AHEAD = 16;

/** Input of {@link buildProposal}. `loadingMillis` is the expected time for loading the experts. */
export type ProposalInput = Readonly<{
	group: string;
	view: GroupView;
	map: ExpertMap;
	fencingToken: number;
	/** Number of the proposal under this fencing token, from 1. */
	counter: number;
	loadingMillis: number;
}>;

/** Chooses the first step of the new map, late enough for all ranks to load and vote before it; 0 for a group without a map. */
function chooseFromStep({view, loadingMillis}: ProposalInput): number {
	if (view.isUnmapped) {
		return 0;
	}

	const stepMillis = view.stepMillis > 0 ? view.stepMillis : FALLBACK_STEP_MILLIS;
	const leadMillis = (loadingMillis * (1 + LOADING_MARGIN)) + VOTE_TIME_MILLIS;
	return view.step + Math.max(MIN_STEPS_AHEAD, Math.ceil(leadMillis / stepMillis));
}

export function buildProposal(input: ProposalInput): Proposal {
	return {
		group: input.group,
		groupIncarnation: input.view.groupIncarnation,
		epoch: (input.fencingToken * EPOCHS_PER_TOKEN) + input.counter,
		fencingToken: input.fencingToken,
		fromStep: chooseFromStep(input),
		members: input.view.members,
		map: input.map,
	};
}
