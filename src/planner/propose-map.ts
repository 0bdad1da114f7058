import type {ProcessContext} from '../daemon/process-context.js';
import type {PlacementPlan} from '../decisions/placement/placement-types.js';
import {buildProposal} from './build-proposal.js';
import {submitProposal, type SubmitProposalDeps} from './submit-proposal.js';
import type {GroupView} from './group-view.js';
import type {ExpertLoadLimiter} from './expert-load-limiter.js';
import {OUTCOME_TIMEOUT_MILLIS} from './planner-constants.js';

/** Proposes one plan under a fencing token and waits for the outcome of the vote. */
export type MapProposer = (view: GroupView, plan: PlacementPlan, fencingToken: number) => Promise<void>;

/** Dependencies of a map proposer. */
export type MapProposerDeps = Readonly<{
	ctx: Pick<ProcessContext, 'log' | 'metrics'>;
	submit: Omit<SubmitProposalDeps, 'isLeaseHeld'>;
	group: string;
	loadLimiter: ExpertLoadLimiter;
	/** Fencing token of the lease; undefined while the lease is not valid. */
	currentToken: () => number | undefined;
}>;

/** Creates the proposer of one group. It numbers the proposals under each fencing token from 1. */
export function createMapProposer(deps: MapProposerDeps): MapProposer {
	const {group, loadLimiter, ctx: {log, metrics}} = deps;
	let counter = 0;
	let counterToken = 0;

	function nextCounter(fencingToken: number): number {
		counter = fencingToken === counterToken ? counter + 1 : 1;
		counterToken = fencingToken;
		return counter;
	}

	return async (view, {map, weightLoads}, fencingToken) => {
		const loadingMillis = loadLimiter.consume(weightLoads);
		const proposal = buildProposal({
			group, view, map, fencingToken, counter: nextCounter(fencingToken), loadingMillis,
		});
		const {epoch, fromStep} = proposal;
		log.info('Proposing an expert map', {
			epoch, fromStep, step: view.step, loads: weightLoads,
		});
		const isLeaseHeld = () => deps.currentToken() === fencingToken;
		const outcome = await submitProposal({...deps.submit, isLeaseHeld}, proposal, loadingMillis + OUTCOME_TIMEOUT_MILLIS);
		metrics.mapOutcomes.inc({outcome});
		if (outcome === 'committed') {
			metrics.movedExperts.inc({group}, weightLoads);
		}

		log.info('The vote on an expert map ended', {epoch, outcome});
	};
}
