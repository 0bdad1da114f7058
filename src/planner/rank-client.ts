import type {Result} from '../core/result.js';
import type {Proposal, RankState, VoteReport} from '../wire/generated/vote.js';

/** An agent did not answer. */
export type RankClientError = Readonly<{tag: 'no_answer'; detail: string}>;

/** The agents of rank groups, by the address of their link listener. Every call has its own timeout. */
export type RankClient = {
	readonly readRank: (address: string, group: string) => Promise<Result<RankState, RankClientError>>;
	/** Idempotent: the same proposal may be sent again to learn its outcome. */
	readonly propose: (address: string, proposal: Proposal) => Promise<Result<VoteReport, RankClientError>>;
	/** Closes all connections. */
	readonly close: () => void;
};
