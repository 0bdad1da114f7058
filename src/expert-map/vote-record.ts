/** What one rank knows of one proposed expert map: an immutable value and its updates. */
import type {Proposal, VoteReport} from '../wire/generated/vote.js';

/** A rank's vote; it never changes once it is yes or no. */
export type Vote = 'none' | 'yes' | 'no';

/** What became of a proposal. */
export type MapOutcome = 'unknown' | 'committed' | 'aborted';

/** State of a vote at one rank. */
export type VoteRecord = Readonly<{
	proposal: Proposal;
	ownRank: number;
	vote: Vote;
	outcome: MapOutcome;
	/** Ranks known to have voted yes. */
	yesRanks: ReadonlySet<number>;
	/** The engine has done what the outcome asks, or the group has restarted. */
	isSettled: boolean;
}>;

/** A record without a vote. */
export function createVoteRecord(proposal: Proposal, ownRank: number): VoteRecord {
	return {
		proposal, ownRank, vote: 'none', outcome: 'unknown', yesRanks: new Set(), isSettled: false,
	};
}

/** Adds the own vote, which may decide the outcome. */
export function addOwnVote(record: VoteRecord, vote: 'yes' | 'no'): VoteRecord {
	return decide(addVote({...record, vote}, record.ownRank, vote));
}

/** Adds what a peer reported, which may decide the outcome. */
export function applyReport(record: VoteRecord, report: VoteReport): VoteRecord {
	if (record.outcome !== 'unknown') {
		return record;
	}

	if (report.outcome === 'committed' || report.outcome === 'aborted') {
		return {...record, outcome: report.outcome};
	}

	return decide(addVote(record, report.rank, report.vote));
}

/** Sets an outcome that the engine itself proves. */
export function setOutcome(record: VoteRecord, outcome: MapOutcome): VoteRecord {
	return record.outcome === 'unknown' ? {...record, outcome} : record;
}

function addVote(record: VoteRecord, rank: number, vote: string): VoteRecord {
	if (vote === 'no') {
		return setOutcome(record, 'aborted');
	}

	return vote === 'yes' && !record.yesRanks.has(rank)
		? {...record, yesRanks: new Set([...record.yesRanks, rank])}
		: record;
}

/** Only a rank that has voted yes itself counts the votes. */
function decide(record: VoteRecord): VoteRecord {
	const hasAll = record.proposal.members.every(member => record.yesRanks.has(member.rank));
	return record.vote === 'yes' && hasAll ? setOutcome(record, 'committed') : record;
}
