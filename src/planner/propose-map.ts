import type {ProcessContext} from '../daemon/process-context.js';
import type {PlacementPlan} from '../decisions/placement/placement-types.js';
import {buildProposal} from './build-proposal.js';
import {submitProposal, type SubmitProposalDeps} from './submit-proposal.js';
import type {GroupView} from './group-view.js';
import type {ExpertLoadLimiter} from './expert-load-limiter.js';
import {OUTCOME_TIMEOUT_MILLIS} from './planner-constants.js';

/** Puts one plan to the vote under a fencing token and waits for the outcome. */
export type MapProposer = (view: GroupView, plan: PlacementPlan, fencingToken: number) => Promise<void>;

/** What proposing needs. */
export type MapProposerDeps = Readonly<{
	ctx: Pick<ProcessContext, 'log' | 'metrics'>;
	submit: Omit<SubmitProposalDeps, 'isLeaseHeld'>;
	group: string;
	loadLimiter: ExpertLoadLimiter;
	/** Fencing token of the lease while it may be used. */
	currentToken: () => number | undefined;
}>;

/** Creates the proposer of one group, which numbers the proposals of each fencing token from 1. */
export function createMapProposer(deps: MapProposerDeps): MapProposer {
	const {group, loadLimiter: pacer, ctx: {log, metrics}} = deps;
	let counter = 0;
	let counterToken = 0;

	function nextCounter(fencingToken: number): number {
		counter = fencingToken === counterToken ? counter + 1 : 1;
		counterToken = fencingToken;
		return counter;
	}

	return async (view, {map, weightLoads: loads}, fencingToken) => {
		const loadingMillis = pacer.consume(loads);
		const proposal = buildProposal({
			group, view, map, fencingToken, counter: nextCounter(fencingToken), loadingMillis,
		});
		const {epoch, fromStep} = proposal;
		log.info('Proposing a map', {
			epoch, fromStep, step: view.step, loads,
		});
		const isLeaseHeld = () => deps.currentToken() === fencingToken;
		const outcome = await submitProposal({...deps.submit, isLeaseHeld}, proposal, loadingMillis + OUTCOME_TIMEOUT_MILLIS);
		metrics.mapOutcomes.inc({outcome});
		if (outcome === 'committed') {
			metrics.movedExperts.inc({group}, loads);
		}

		log.info('The vote on a map ended', {epoch, outcome});
	};
}
