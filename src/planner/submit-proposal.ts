import type {Clock} from '../core/clock.js';
import type {Proposal, VoteReport} from '../wire/generated/vote.js';
import type {RankClient} from './rank-client.js';

/** Time between two questions for the outcome of a proposal, in milliseconds. */
const POLL_MILLIS = 100;

/** How a proposal ended as far as its proposer knows. */
export type ProposalOutcome = 'committed' | 'aborted'
	/** The agents settle it among themselves. */
	| 'undecided'
	/** The lease ended before the outcome was known. */
	| 'lease_lost';

/** What following a proposal needs. */
export type SubmitProposalDeps = Readonly<{
	rankClient: RankClient;
	clock: Clock;
	signal: AbortSignal;
	/** Whether the lease under which the proposal was made may still be used. */
	isLeaseHeld: () => boolean;
}>;

function findOutcome(reports: readonly VoteReport[], epoch: number): 'committed' | 'aborted' | undefined {
	const settled = reports.find(report => report.epoch === epoch && report.outcome !== 'unknown');
	return settled?.outcome === 'committed' || settled?.outcome === 'aborted' ? settled.outcome : undefined;
}

/** Sends the proposal to all members, again and again until one of them knows its outcome or `timeoutMillis` have passed. */
export async function submitProposal(deps: SubmitProposalDeps, proposal: Proposal, timeoutMillis: number): Promise<ProposalOutcome> {
	const deadlineMillis = deps.clock.monotonicMillis() + timeoutMillis;
	while (deps.clock.monotonicMillis() < deadlineMillis && !deps.signal.aborted) {
		if (!deps.isLeaseHeld()) {
			return 'lease_lost';
		}

		// Each round waits for the answers of the one before.
		// eslint-disable-next-line no-await-in-loop
		const answers = await Promise.all(proposal.members.map(async ({address}) => deps.rankClient.propose(address, proposal)));
		const reports = answers.filter(answer => answer.ok).map(({value}) => value);
		const outcome = findOutcome(reports, proposal.epoch);
		if (outcome) {
			return outcome;
		}

		// eslint-disable-next-line no-await-in-loop
		await deps.clock.sleep(POLL_MILLIS, deps.signal);
	}

	return 'undecided';
}
