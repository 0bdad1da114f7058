import type {Result} from '../core/result.js';
import type {VoteReport} from '../wire/generated/vote.js';

/** A peer did not answer. */
export type VotePeerError = Readonly<{tag: 'no_answer'; detail: string}>;

/** The agents of the other ranks, by the address of their link listener. Every call has its own timeout. */
export type VotePeers = {
	/** Hands over this agent's report and gives the peer's. */
	readonly exchange: (address: string, report: VoteReport) => Promise<Result<VoteReport, VotePeerError>>;
};
