/**
 * One rank's participant in the votes on the expert map of its group: an atomic commit between the ranks.
 *
 * A proposal is committed when all ranks have voted yes, and aborted by one no. Each proposal has a task that votes and
 * applies the outcome to the engine, and a task for each peer that exchanges reports until both sides know the outcome.
 * A vote completes without the proposer and without a store.
 */
import {match} from 'ts-pattern';
import {fail, succeed, type Result} from '../core/result.js';
import {createSnapshotStore} from '../core/snapshot-store.js';
import type {Member, Proposal, VoteReport} from '../wire/generated/vote.js';
import {
	finalizeVote, isSameGroupIncarnation, readHeldEpoch, releaseHold, applyCommittedMap, tryPlaceHold, type EngineVote,
} from './engine-vote.js';
import type {RankVoterDeps, VoteRefusal} from './rank-voter-types.js';
import {EXCHANGE_INTERVAL_MILLIS, GROUP_POLL_MILLIS, MAX_KEPT_VOTES} from './vote-constants.js';
import {
	addOwnVote, applyReport, createVoteRecord, setOutcome, type VoteRecord,
} from './vote-record.js';

/** One rank's participant in the votes. */
export type RankVoter = {
	/** Accepts a proposal and returns without waiting for the vote. The same proposal may be sent again. */
	readonly propose: (proposal: Proposal) => Result<VoteReport, VoteRefusal>;
	/** Applies a peer's report and returns this rank's report. */
	readonly exchange: (report: VoteReport) => Result<VoteReport, VoteRefusal>;
	/**
	 * Resumes votes that a former incarnation left in the engine and that no peer or proposer reports.
	 *
	 * Polls until the process ends, since an order of the former incarnation may still arrive after any poll.
	 */
	readonly resume: () => Promise<void>;
	/** Whether any vote is not settled yet at this rank. */
	readonly isPending: () => boolean;
};

/** Records by epoch, oldest first. */
type Records = ReadonlyMap<number, VoteRecord>;

/** Creates the participant of a rank, with no known proposal. */
export function createRankVoter(deps: RankVoterDeps): RankVoter {
	const store = createSnapshotStore<Records>(new Map());
	const read = (epoch: number) => store.read().get(epoch);

	function update(epoch: number, change: (record: VoteRecord) => VoteRecord): void {
		store.update(records => {
			const before = records.get(epoch);
			const after = before && change(before);
			return after === undefined || after === before ? records : new Map([...records, [epoch, after]]);
		});
	}

	function hasPending(): boolean {
		return [...store.read().values()].some(record => !record.isSettled);
	}

	function propose(proposal: Proposal): Result<VoteReport, VoteRefusal> {
		const own = proposal.members.find(member => member.rank === deps.rank && member.agentId === deps.agentId);
		if (proposal.group !== deps.group) {
			return fail({tag: 'other_group'});
		}

		if (!own) {
			return fail({tag: 'not_a_member'});
		}

		if (!read(proposal.epoch)) {
			startVote(proposal, own);
		}

		return succeed(createReport(proposal.epoch));
	}

	function startVote(proposal: Proposal, own: Member): void {
		const mayHold = own.agentIncarnation === deps.incarnation && !hasPending();
		deps.floor.recordToken(proposal.fencingToken);
		store.update(records => new Map([...dropOldest(records), [proposal.epoch, createVoteRecord(proposal, deps.rank)]]));
		void vote(proposal, mayHold);
		for (const member of proposal.members) {
			if (member.rank !== deps.rank) {
				void exchangeWithPeer(proposal.epoch, member);
			}
		}
	}

	async function vote(proposal: Proposal, mayHold: boolean): Promise<void> {
		const {epoch} = proposal;
		if (mayHold) {
			// Not awaited, so that the hold is not delayed by the object store.
			void deps.archive.save(proposal);
			await tryPlaceHold(deps, proposal, () => read(epoch)?.outcome === 'unknown');
		}

		applyEngineVote(proposal, await finalizeVote(deps, proposal));
		await awaitOutcome(proposal);
		await applyOutcome(proposal);
	}

	function applyEngineVote(proposal: Proposal, engineVote: EngineVote): void {
		match(engineVote)
			.with('yes', 'no', ownVote => {
				update(proposal.epoch, record => addOwnVote(record, ownVote));
				recordVote(deps, proposal, ownVote);
			})
			.with('taken', () => {
				update(proposal.epoch, record => setOutcome({...record, vote: 'yes'}, 'committed'));
			})
			.with('void', () => {
				// `applyOutcome` releases the engine after `awaitOutcome` has seen the restart of the group.
			})
			.with('ended', () => {
				// The next incarnation of this agent reads the vote back.
			})
			.exhaustive();
	}

	/** Waits until the outcome is known, the group has restarted, or the process ends. */
	async function awaitOutcome(proposal: Proposal): Promise<void> {
		while (read(proposal.epoch)?.outcome === 'unknown' && !deps.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			await waitForChange(proposal.epoch, GROUP_POLL_MILLIS);
			// eslint-disable-next-line no-await-in-loop
			if (read(proposal.epoch)?.outcome === 'unknown' && !await isSameGroupIncarnation(deps, proposal)) {
				return;
			}
		}
	}

	/** Applies the outcome to the engine. Without an outcome the group has restarted, and its engines no longer hold the proposal. */
	async function applyOutcome(proposal: Proposal): Promise<void> {
		const {epoch} = proposal;
		const outcome = read(epoch)?.outcome ?? 'unknown';
		await (outcome === 'committed' ? applyCommittedMap(deps, proposal) : releaseHold(deps, epoch));

		if (deps.signal.aborted) {
			return;
		}

		update(epoch, record => ({...record, isSettled: true}));
		if (outcome !== 'unknown') {
			recordOutcome(deps, proposal, outcome);
		}
	}

	/** Exchanges reports with a peer until both sides know the outcome, or it can no longer become known. */
	async function exchangeWithPeer(epoch: number, member: Member): Promise<void> {
		while (!deps.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			const reply = await deps.peers.exchange(member.address, createReport(epoch));
			if (reply.ok) {
				applyPeerReport(reply.value);
			}

			const record = read(epoch);
			const isPeerDone = reply.ok && reply.value.epoch === epoch && reply.value.outcome !== 'unknown';
			if (!record || isExchangeDone(record, isPeerDone)) {
				return;
			}

			// eslint-disable-next-line no-await-in-loop
			await waitForChange(epoch, EXCHANGE_INTERVAL_MILLIS);
		}
	}

	async function resume(): Promise<void> {
		while (!deps.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			await resumeHeldVote();
			// eslint-disable-next-line no-await-in-loop
			await deps.clock.sleep(GROUP_POLL_MILLIS, deps.signal);
		}
	}

	async function resumeHeldVote(): Promise<void> {
		const epoch = await readHeldEpoch(deps);
		if (epoch === undefined || read(epoch)) {
			return;
		}

		const proposal = await deps.archive.find(epoch);
		if (proposal) {
			propose(proposal);
		}
	}

	function applyPeerReport(report: VoteReport): void {
		deps.floor.learnFromPeer(report.fencingFloor);
		update(report.epoch, record => applyReport(record, report));
	}

	/** Waits until the record has changed, for at most `millis`. */
	async function waitForChange(epoch: number, millis: number): Promise<void> {
		const seen = read(epoch);
		const wait = new AbortController();
		const wake = () => {
			if (read(epoch) !== seen) {
				wait.abort();
			}
		};

		const end = () => {
			wait.abort();
		};

		const stop = store.registerListener(wake);
		deps.signal.addEventListener('abort', end, {once: true});
		await deps.clock.sleep(millis, wait.signal);
		deps.signal.removeEventListener('abort', end);
		stop();
	}

	function createReport(epoch: number): VoteReport {
		const record = read(epoch);
		return {
			group: deps.group,
			epoch,
			rank: deps.rank,
			agentIncarnation: deps.incarnation,
			vote: record?.vote ?? 'none',
			outcome: record?.outcome ?? 'unknown',
			proposal: record?.proposal,
			fencingFloor: deps.floor.read() ?? 0,
		};
	}

	return {
		propose,
		resume,
		isPending: hasPending,
		exchange(report) {
			if (report.group !== deps.group) {
				return fail({tag: 'other_group'});
			}

			if (!read(report.epoch)) {
				const opened = report.proposal ? propose(report.proposal) : fail({tag: 'no_proposal'} as const);
				if (!opened.ok) {
					return opened;
				}
			}

			applyPeerReport(report);
			return succeed(createReport(report.epoch));
		},
	};
}

/** Whether the exchange with a peer is complete. A record settled without an outcome is void: the group has restarted. */
function isExchangeDone({outcome, isSettled}: VoteRecord, isPeerDone: boolean): boolean {
	return outcome === 'unknown' ? isSettled : isPeerDone;
}

/** Drops the oldest settled records beyond the limit. */
function dropOldest(records: Records): Records {
	const surplus = Math.max(0, records.size + 1 - MAX_KEPT_VOTES);
	const dropped = [...records.entries()].filter(([, record]) => record.isSettled).slice(0, surplus);
	const epochs = new Set(dropped.map(([epoch]) => epoch));
	return new Map([...records].filter(([epoch]) => !epochs.has(epoch)));
}

function recordVote({audit, metrics, rank}: RankVoterDeps, proposal: Proposal, vote: 'yes' | 'no'): void {
	const {group, groupIncarnation, epoch, fromStep} = proposal;
	metrics.votes.inc({vote});
	audit.append({
		kind: 'vote_cast', group, groupIncarnation, epoch, fromStep, rank, vote,
	}, 'may_drop');
}

function recordOutcome({audit, metrics, rank}: RankVoterDeps, proposal: Proposal, outcome: 'committed' | 'aborted'): void {
	const {group, groupIncarnation, epoch, fromStep} = proposal;
	metrics.mapOutcomes.inc({outcome});
	audit.append({
		kind: 'vote_outcome', group, groupIncarnation, epoch, fromStep, rank, outcome,
	}, 'may_drop');
}
