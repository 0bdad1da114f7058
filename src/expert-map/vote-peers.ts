import type {Result} from '../core/result.js';
import type {VoteReport} from '../wire/generated/vote.js';

/** A peer did not answer. */
export type VotePeerError = Readonly<{tag: 'no_answer'; detail: string}>;

/** The agents of the other ranks, addressed by their link listener. Every call has its own timeout. */
export type VotePeers = {
	/** Sends this agent's report and returns the peer's. */
	readonly exchange: (address: string, report: VoteReport) => Promise<Result<VoteReport, VotePeerError>>;
};
