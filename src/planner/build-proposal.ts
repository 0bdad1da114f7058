import type {ExpertMap} from '../ports/model-engine.js';
import type {Proposal} from '../wire/generated/vote.js';
import type {GroupView} from './group-view.js';

/** Epochs that one fencing token has room for. */
const EPOCHS_PER_TOKEN = 1_000_000;
/** Time that sending a proposal and the votes may take, in milliseconds. */
const VOTE_MILLIS = 1500;
/** Part of the loading time that is added for a weight store slower than expected. */
const LOADING_RESERVE = 0.5;
/** Step time assumed for a group that reports none, in milliseconds. */
const FALLBACK_STEP_MILLIS = 5;
/** Least number of steps between a proposal and its first step. */
const LEAST_STEPS_AHEAD = 16;

/** What a proposal is made of. `loadingMillis` is the time that loading the experts is expected to take. */
export type ProposalInput = Readonly<{
	group: string;
	view: GroupView;
	map: ExpertMap;
	fencingToken: number;
	/** Counts the proposals made under this fencing token, from 1. */
	counter: number;
	loadingMillis: number;
}>;

/** First step of the new map: far enough ahead that all ranks can load and vote before; 0 for a group without a map. */
function chooseFromStep({view, loadingMillis}: ProposalInput): number {
	if (view.isUnmapped) {
		return 0;
	}

	const stepMillis = view.stepMillis > 0 ? view.stepMillis : FALLBACK_STEP_MILLIS;
	const leadMillis = (loadingMillis * (1 + LOADING_RESERVE)) + VOTE_MILLIS;
	return view.step + Math.max(LEAST_STEPS_AHEAD, Math.ceil(leadMillis / stepMillis));
}

/** Builds the proposal of a new map. */
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
