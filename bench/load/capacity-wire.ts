import {Buffer} from 'node:buffer';
import {configurationSchema} from '../../src/configuration/configuration.js';
import {AgentFrame, EntryFrame} from '../../src/wire/generated/link.js';
import {Proposal, RankState, VoteReport} from '../../src/wire/generated/vote.js';
import {workClasses} from './admission-scenario.js';
import type {CapacityFigure} from './capacity-decisions.js';
import {measureBytesEach, measureMicros} from './resource-usage.js';

const CALL_COUNT = 5000;
const ID = '0f8fad5b-d9cb-469f-a165-70867728950e';
const DIGEST = '0'.repeat(64);
const LAYER_COUNT = 60;
const EXPERT_COUNT = 128;
const SPARE_SLOTS_PER_RANK = 2;

/** `per` and `size` are, for example, "cache events" and 10. */
function createFigure(name: string, [per, size]: readonly [string, number], value: number, unit: string): CapacityFigure {
	return {
		name, per, size, value, unit,
	};
}

function createLoadFrame(cacheEvents: number): AgentFrame {
	return {
		configVersion: 1200,
		body: {
			$case: 'heartbeat',
			heartbeat: {
				sequence: 100_000,
				inFlight: 30,
				queued: 2,
				ageMillis: 2500,
				stepMillis: 31.5,
				tokensPerSecond: 2400,
				cacheEvents: Array.from({length: cacheEvents}, () => ({prefixDigest: DIGEST, evicted: false})),
				cacheGap: false,
			},
		},
	};
}

function measureLoadReport(cacheEvents: number): readonly CapacityFigure[] {
	const frame = createLoadFrame(cacheEvents);
	const encoded = AgentFrame.encode(frame).finish();
	const micros = measureMicros(CALL_COUNT, () => {
		AgentFrame.decode(AgentFrame.encode(frame).finish());
	});
	return [
		createFigure('load report', ['cache events', cacheEvents], encoded.length, 'bytes'),
		createFigure('load report, encode and decode', ['cache events', cacheEvents], micros, 'microseconds'),
	];
}

function measureAttempt(bodyBytes: number): CapacityFigure {
	const frame: EntryFrame = {
		configVersion: 1200,
		body: {
			$case: 'start',
			start: {
				attemptId: ID,
				requestId: ID,
				account: 'account-1234',
				workClass: 'notices',
				service: 'model-1',
				remainingMillis: 5000,
				idempotent: true,
				idempotencyKey: '',
				requestDigest: DIGEST,
				boundIncarnation: '',
				offset: 0,
				priority: 50,
				body: Buffer.alloc(bodyBytes),
			},
		},
	};
	return createFigure('start of an attempt', ['body bytes', bodyBytes], EntryFrame.encode(frame).finish().length, 'bytes');
}

function createConfigurationJson(accounts: number): string {
	return JSON.stringify({
		version: 1,
		changeId: ID,
		changedBy: 'operator',
		plannedStops: [],
		targets: {
			services: [{name: 'model', kind: 'model'}],
			classes: workClasses.map(item => item.workClass),
			groups: [],
			accounts: Array.from({length: accounts}, (_, i) => ({name: `account-${i}`, credentialDigest: DIGEST})),
		},
	});
}

function measureConfiguration(accounts: number): readonly CapacityFigure[] {
	const json = createConfigurationJson(accounts);
	const micros = measureMicros(Math.max(5, Math.round(CALL_COUNT / accounts)), () => {
		configurationSchema.parse(JSON.parse(json));
	});
	return [
		createFigure('configuration document', ['accounts', accounts], json.length, 'bytes'),
		createFigure('configuration, parse and check', ['accounts', accounts], micros, 'microseconds'),
		createFigure('configuration in memory', ['accounts', accounts], measureBytesEach(accounts, () => configurationSchema.parse(JSON.parse(json))), 'bytes each'),
	];
}

function measureVoteMessages(ranks: number): readonly CapacityFigure[] {
	const slotsPerRank = Math.ceil(EXPERT_COUNT / ranks) + SPARE_SLOTS_PER_RANK;
	const map = {layers: Array.from({length: LAYER_COUNT}, () => ({slotsPerRank, slots: Array.from({length: ranks * slotsPerRank}, (_, i) => i % EXPERT_COUNT)}))};
	const proposal = Proposal.encode({
		group: 'group-1', groupIncarnation: ID, epoch: 1_000_000, fencingToken: 1000, fromStep: 1_000_000, members: Array.from({length: ranks}, (_, rank) => ({
			rank, agentId: `agent-${rank}`, agentIncarnation: ID, address: '10.0.0.100:4000',
		})), map,
	}).finish().length;
	const report = VoteReport.encode({
		group: 'group-1', epoch: 1_000_000, rank: ranks - 1, agentIncarnation: ID, vote: 'yes', outcome: 'unknown', proposal: undefined, fencingFloor: 1000,
	}).finish().length;
	const state = RankState.encode({
		group: 'group-1',
		groupIncarnation: ID,
		rank: ranks - 1,
		agentId: 'agent-1',
		agentIncarnation: ID,
		step: 1_000_000,
		mapEpoch: 1000,
		stepMillis: 31.5,
		reportAgeMillis: 2000,
		layers: Array.from({length: LAYER_COUNT}, () => ({tokens: Array.from({length: EXPERT_COUNT}, (_, i) => i * 1.5)})),
		map,
		checksFencing: true,
		pending: false,
	}).finish().length;
	return [
		createFigure('proposal of a map', ['ranks', ranks], proposal, 'bytes'),
		createFigure('vote report', ['ranks', ranks], report, 'bytes'),
		createFigure('rank state', ['ranks', ranks], state, 'bytes'),
		createFigure('proposal, over all ranks', ['ranks', ranks], proposal * ranks, 'bytes'),
	];
}

/** Measures message sizes and the processor time of encoding and decoding at several sizes. */
export function measureWire(): readonly CapacityFigure[] {
	const heartbeat = EntryFrame.encode({configVersion: 1200, body: {$case: 'heartbeat', heartbeat: {sequence: 100_000}}}).finish().length;
	return [
		createFigure('heartbeat of an entry', ['links', 1], heartbeat, 'bytes'),
		...[0, 10, 100].flatMap(events => measureLoadReport(events)),
		...[0, 1000].map(bytes => measureAttempt(bytes)),
		...[10, 600, 6000].flatMap(accounts => measureConfiguration(accounts)),
		...[4, 32, 128].flatMap(ranks => measureVoteMessages(ranks)),
	];
}
