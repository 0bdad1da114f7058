/** Wiring of the agent role. */
import {createAttemptTable} from '../attempts/attempt-table.js';
import {createInFlightAttempts} from '../attempts/in-flight-attempts.js';
import {succeed, type Result} from '../core/result.js';
import type {ProcessContext} from '../daemon/process-context.js';
import {createFencingFloor} from '../expert-map/fencing-floor.js';
import {createProposalArchive} from '../expert-map/proposal-archive.js';
import {createGrpcVotePeers} from '../expert-map/grpc-vote-peers.js';
import {createRankVoteService} from '../expert-map/rank-vote-service.js';
import {createRankVoter, type RankVoter} from '../expert-map/rank-voter.js';
import {createLedger, createLedgerLimits} from '../ledger/ledger.js';
import type {AgentSettings} from '../settings/settings.js';
import type {ModelEngine} from '../ports/model-engine.js';
import {RankVoteService} from '../wire/generated/vote.js';
import type {ListenError} from '../core/listen-error.js';
import type {AgentParts} from './agent-parts.js';
import {watchBackendLoad} from './backend-load.js';
import type {Backend} from './backend.js';
import {drainAgent, type DrainReport} from './drain.js';
import type {EntryCall} from './entry-channel.js';
import {serveEntry} from './entry-link.js';
import {createDrainState} from './drain-state.js';
import {agentLinkDefinition} from './link-definition.js';
import {openLinkServer, type LinkService} from './link-server.js';
import {watchDrainCauses} from './watch-drain-causes.js';

/** A running agent. */
export type RunningAgent = Readonly<{
	/** `host:port` that the link listener is bound to. */
	linkAddress: string;
	/** Refuses new work and waits for requests in flight. Further calls return the same promise. */
	drain: () => Promise<DrainReport>;
}>;

/** The rank's voter and the gRPC service that exposes it. */
type ServedVoter = Pick<RankVoter, 'resume'> & Readonly<{service: LinkService}>;

/** Starts the agent of `backend`. Binds the link port before it sends anything to the backend server. */
export async function startAgent(
	ctx: ProcessContext,
	settings: AgentSettings,
	backend: Backend,
): Promise<Result<RunningAgent, ListenError>> {
	const started: {parts?: AgentParts} = {};
	const links = createLinkService(() => started.parts);
	const voter = backend.kind === 'engine' ? createVoter(ctx, settings, backend.engine) : undefined;
	const services = voter ? [links, voter.service] : [links];
	const server = await openLinkServer(ctx.linkAccess, ctx.clock, settings.linkListen, services);
	if (!server.ok) {
		return server;
	}

	ctx.lifeCycle.own('link listener', server.value.close);
	const parts = createParts(ctx, settings, backend);
	started.parts = parts;
	watchDrainCauses(ctx, settings, parts.drainState);
	void voter?.resume();
	ctx.log.info('agent listening', {address: server.value.address});
	return succeed(createRunningAgent(parts, server.value.address));
}

function createParts(ctx: ProcessContext, settings: AgentSettings, backend: Backend): AgentParts {
	return {
		ctx,
		settings,
		backend,
		attempts: createAttemptTable(ctx.clock),
		inFlight: createInFlightAttempts(size => {
			ctx.metrics.inFlight.set(size);
		}),
		ledger: createLedger(ctx.incarnation, createLedgerLimits(settings.ledgerEntries)),
		drainState: createDrainState(settings.instanceId, ctx.audit),
		loadWatch: watchBackendLoad(ctx, backend),
	};
}

/** Creates the service of the links. A call that arrives before the agent has started is ended; the entry reconnects. */
function createLinkService(readParts: () => AgentParts | undefined): LinkService {
	return {
		definition: agentLinkDefinition,
		implementation: {
			connect(call: EntryCall) {
				const parts = readParts();
				if (parts) {
					void serveEntry(parts, call);
					return;
				}

				call.end();
			},
		},
	};
}

/** Creates the rank's voter, which contacts the engine only when a proposal or a report arrives. */
function createVoter(ctx: ProcessContext, settings: AgentSettings, engine: ModelEngine): ServedVoter {
	const peers = createGrpcVotePeers(ctx.linkAccess, ctx.clock);
	ctx.lifeCycle.own('vote peers', peers.close);
	const voter = createRankVoter({
		group: settings.group,
		rank: settings.rank,
		agentId: settings.instanceId,
		incarnation: ctx.incarnation,
		checksFencing: settings.backend.checksFencing,
		engine,
		peers,
		floor: createFencingFloor(ctx.table, settings.group),
		archive: createProposalArchive(ctx.objects, settings.group),
		clock: ctx.clock,
		audit: ctx.audit,
		metrics: ctx.metrics,
		signal: ctx.lifeCycle.signal,
	});
	return {
		resume: voter.resume,
		service: {definition: RankVoteService, implementation: createRankVoteService(ctx, settings, engine, voter)},
	};
}

function createRunningAgent(parts: AgentParts, linkAddress: string): RunningAgent {
	let draining: Promise<DrainReport> | undefined;
	return {
		linkAddress,
		async drain() {
			draining ??= drainAgent(parts);
			return draining;
		},
	};
}
