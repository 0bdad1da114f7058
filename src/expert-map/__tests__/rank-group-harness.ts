/** A rank group whose agents, engines and messages are driven by a test. */
import assert from 'node:assert/strict';
import {setImmediate} from 'node:timers/promises';
import type {AuditEvent} from '../../audit/audit-record.js';
import type {Clock} from '../../core/clock.js';
import {fail, succeed} from '../../core/result.js';
import {createGroupLeaseName, LEASE_TABLE} from '../../lease/group-lease-name.js';
import {createMetrics} from '../../observability/metrics.js';
import type {TableStore} from '../../ports/table-store.js';
import type {Proposal} from '../../wire/generated/vote.js';
import {createFencingFloor} from '../fencing-floor.js';
import {createRankVoter, type RankVoter} from '../rank-voter.js';
import {
	createEnginePort, createFakeRankEngine, type DeliverCall, type FakeRankEngine,
} from './fake-rank-engine.js';

export const GROUP = 'group-1';

/** Decides when a call takes effect and when its reply comes; each may be lost. */
export type Network = Readonly<{
	/** Resolves when the next leg of a call may go on. */
	pass: (label: string) => Promise<void>;
	/** Whether this leg is lost. */
	isLost: (label: string) => boolean;
	/** Whether this call is made twice. */
	isDoubled: (label: string) => boolean;
}>;

type Rank = {engine: FakeRankEngine; vote: RankVoter; incarnation: number; stop: AbortController};

export type RankGroupHarness = Readonly<{
	ranks: readonly Rank[];
	events: readonly AuditEvent[];
	/** Fencing token in the row of the lease; undefined while the table is down. */
	table: {fencingToken: number | undefined};
	createProposal: (epoch: number, fromStep: number, fencingToken: number) => Proposal;
	propose: (rank: number, proposal: Proposal) => void;
	restartAgent: (rank: number) => void;
	/** Ends the agent and starts no other. */
	killAgent: (rank: number) => void;
	restartGroup: (groupIncarnation: string) => void;
	/** Runs each engine's next step where lock-step and holds allow it, and checks the maps. */
	runSteps: () => void;
	/** Lets everything that is ready go on. */
	flush: () => Promise<void>;
	stop: () => void;
}>;

export function createRankGroupHarness(size: number, network: Network, checksFencing = true): RankGroupHarness {
	const events: AuditEvent[] = [];
	const table: {fencingToken: number | undefined} = {fencingToken: 0};
	const archived = new Map<number, Proposal>();
	const metrics = createMetrics();
	const clock: Clock = {
		now: () => new Date(0),
		monotonicMillis: () => 0,
		async sleep(_millis, signal) {
			await (signal ? Promise.race([network.pass('sleep'), untilAborted(signal)]) : network.pass('sleep'));
		},
	};
	const ranks: Rank[] = [];
	let groupIncarnation = 'g1';
	let epochsOfSteps = new Map<number, Set<number>>();

	const carry: DeliverCall = async (label, effect) => {
		await network.pass(label);
		if (network.isLost(label)) {
			return undefined;
		}

		const result = effect();
		if (network.isDoubled(label)) {
			effect();
		}

		await network.pass(`${label} reply`);
		return network.isLost(`${label} reply`) ? undefined : result;
	};

	const store: TableStore = {
		async read(name, key) {
			const {fencingToken} = table;
			if (fencingToken === undefined) {
				return fail({tag: 'unavailable', detail: 'down'});
			}

			const isLease = name === LEASE_TABLE && key === createGroupLeaseName(GROUP);
			return succeed(isLease
				? {
					table: name, key, version: 1, value: {holder: 'entry', fencingToken, writeId: 'w'},
				}
				: undefined);
		},
		list: async () => succeed([]),
		transact: async () => fail({tag: 'unavailable', detail: 'not used'}),
	};

	function startVote(rank: number, engine: FakeRankEngine, incarnation: number, signal: AbortSignal): RankVoter {
		return createRankVoter({
			group: GROUP,
			rank,
			agentId: `agent-${rank}`,
			incarnation: `run-${incarnation}`,
			checksFencing,
			engine: createEnginePort(engine, carry),
			peers: {
				async exchange(address, report) {
					const peer = Number(address);
					const reply = await carry('exchange', () => ranks[peer]!.stop.signal.aborted ? undefined : ranks[peer]!.vote.exchange(report));
					return reply?.ok ? reply : fail({tag: 'no_answer', detail: 'lost'});
				},
			},
			floor: createFencingFloor(store, GROUP),
			clock,
			archive: {
				async save(proposal) {
					archived.set(proposal.epoch, proposal);
				},
				find: async epoch => archived.get(epoch),
			},
			metrics,
			signal,
			audit: {
				append(event) {
					events.push(event);
					return true;
				},
				hasRoom: () => true,
			},
		});
	}

	function startRank(rank: number, engine: FakeRankEngine, incarnation: number): Rank {
		const stop = new AbortController();
		return {
			engine, incarnation, stop, vote: startVote(rank, engine, incarnation, stop.signal),
		};
	}

	for (let rank = 0; rank < size; rank += 1) {
		ranks.push(startRank(rank, createFakeRankEngine(checksFencing), 1));
	}

	function runStepOf(engine: FakeRankEngine): void {
		const {step} = engine.readState();
		const slowest = Math.min(...ranks.map(rank => rank.engine.readState().step));
		if (engine.isBlocked() || step > slowest) {
			return;
		}

		const epochs = epochsOfSteps.get(step) ?? new Set();
		epochsOfSteps.set(step, epochs.add(engine.runStep()));
		assert.equal(epochs.size, 1, `step ${step} runs on the maps ${[...epochs].join(', ')}`);
	}

	return {
		ranks,
		events,
		table,
		createProposal: (epoch, fromStep, fencingToken) => ({
			group: GROUP,
			groupIncarnation,
			epoch,
			fencingToken,
			fromStep,
			members: ranks.map(({incarnation}, rank) => ({
				rank, agentId: `agent-${rank}`, agentIncarnation: `run-${incarnation}`, address: String(rank),
			})),
			map: {layers: []},
		}),
		propose(rank, proposal) {
			ranks[rank]!.vote.propose(proposal);
		},
		killAgent(rank) {
			ranks[rank]!.stop.abort();
		},
		restartAgent(rank) {
			const {engine, incarnation, stop} = ranks[rank]!;
			stop.abort();
			ranks[rank] = startRank(rank, engine, incarnation + 1);
			void ranks[rank].vote.resume();
		},
		restartGroup(incarnation) {
			groupIncarnation = incarnation;
			epochsOfSteps = new Map();
			for (const {engine} of ranks) {
				engine.restartGroup(incarnation);
			}
		},
		runSteps() {
			for (const {engine} of ranks) {
				runStepOf(engine);
			}
		},
		async flush() {
			await setImmediate();
		},
		stop() {
			for (const {stop} of ranks) {
				stop.abort();
			}
		},
	};
}

async function untilAborted(signal: AbortSignal): Promise<void> {
	if (signal.aborted) {
		return;
	}

	await new Promise<void>(resolve => {
		signal.addEventListener('abort', () => {
			resolve();
		}, {once: true});
	});
}
