/** The gRPC side of a rank's votes. */
import {
	status as grpcStatus, type sendUnaryData, type ServerUnaryCall, type UntypedServiceImplementation,
} from '@grpc/grpc-js';
import type {Result} from '../core/result.js';
import type {ProcessContext} from '../daemon/process-context.js';
import type {ModelEngine} from '../ports/model-engine.js';
import type {AgentSettings} from '../settings/settings.js';
import type {
	Proposal, RankQuery, RankState, VoteReport,
} from '../wire/generated/vote.js';
import {createRankState} from './rank-state.js';
import type {RankVoterDeps, VoteRefusal} from './rank-voter-types.js';
import type {RankVoter} from './rank-voter.js';
import {createTokenCounter} from './token-counter.js';

/** Creates the implementation of the vote's service. A caller without the token is refused and counted. */
export function createRankVoteService(
	ctx: ProcessContext,
	settings: AgentSettings,
	engine: ModelEngine,
	vote: RankVoter,
): UntypedServiceImplementation {
	const counter = createTokenCounter();

	function isAuthorised(call: Pick<ServerUnaryCall<unknown, unknown>, 'metadata'>): boolean {
		const isKnown = ctx.linkAccess.isAuthorised(call.metadata);
		if (!isKnown) {
			ctx.metrics.rejectedConnections.inc({reason: 'unauthorised'});
		}

		return isKnown;
	}

	return {
		propose(call: ServerUnaryCall<Proposal, VoteReport>, callback: sendUnaryData<VoteReport>) {
			reply(callback, isAuthorised(call) ? vote.propose(call.request) : undefined);
		},
		exchange(call: ServerUnaryCall<VoteReport, VoteReport>, callback: sendUnaryData<VoteReport>) {
			reply(callback, isAuthorised(call) ? vote.exchange(call.request) : undefined);
		},
		readRank(call: ServerUnaryCall<RankQuery, RankState>, callback: sendUnaryData<RankState>) {
			if (!isAuthorised(call)) {
				reply(callback, undefined);
				return;
			}

			void replyWithState(callback);
		},
	};

	async function replyWithState(callback: sendUnaryData<RankState>): Promise<void> {
		const state = await engine.readState();
		if (!state.ok) {
			callback({code: grpcStatus.UNAVAILABLE, details: state.error.tag});
			return;
		}

		callback(null, createRankState({
			group: settings.group,
			rank: settings.rank,
			agentId: settings.instanceId,
			agentIncarnation: ctx.incarnation,
			checksFencing: settings.backend.checksFencing,
			pending: vote.isPending(),
		}, state.value, counter));
	}
}

/** Without a result the caller was not authorised. */
function reply<T>(callback: sendUnaryData<T>, result: Result<T, VoteRefusal> | undefined): void {
	if (!result) {
		callback({code: grpcStatus.UNAUTHENTICATED, details: 'unauthorised'});
		return;
	}

	if (!result.ok) {
		callback({code: grpcStatus.FAILED_PRECONDITION, details: result.error.tag});
		return;
	}

	callback(null, result.value);
}
