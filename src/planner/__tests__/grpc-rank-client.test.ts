import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	Server, status, type sendUnaryData, type ServerUnaryCall,
} from '@grpc/grpc-js';
import {createLinkAccess, type LinkAccess} from '../../access/link-access.js';
import {systemClock} from '../../core/system-clock.js';
import {
	Proposal, RankState, RankVoteService, VoteReport, type RankQuery,
} from '../../wire/generated/vote.js';
import {createGrpcRankClient} from '../grpc-rank-client.js';

async function serve(access: LinkAccess): Promise<Readonly<{server: Server; address: string}>> {
	const server = new Server();
	server.addService(RankVoteService, {
		readRank(call: ServerUnaryCall<RankQuery, RankState>, callback: sendUnaryData<RankState>) {
			if (!access.isAuthorised(call.metadata)) {
				callback({code: status.UNAUTHENTICATED});
				return;
			}

			callback(null, {...RankState.decode(new Uint8Array()), group: call.request.group, layers: [{tokens: [1, 2]}]});
		},
		propose(call: ServerUnaryCall<Proposal, VoteReport>, callback: sendUnaryData<VoteReport>) {
			callback(null, {...VoteReport.decode(new Uint8Array()), epoch: call.request.epoch, outcome: 'unknown'});
		},
		exchange(call: ServerUnaryCall<VoteReport, VoteReport>, callback: sendUnaryData<VoteReport>) {
			callback(null, call.request);
		},
	});
	const port = await new Promise<number>((resolve, reject) => {
		server.bindAsync('127.0.0.1:0', access.server, (err, bound) => {
			if (err) {
				reject(err);
			} else {
				resolve(bound);
			}
		});
	});
	return {server, address: `127.0.0.1:${port}`};
}

test('rank peers read states and propose, show the token, and take a closed port for no answer', async t => {
	const access = createLinkAccess('secret', undefined);
	const {server, address} = await serve(access);
	const peers = createGrpcRankClient(access, systemClock);
	const strangers = createGrpcRankClient(createLinkAccess('other', undefined), systemClock);

	t.after(() => {
		server.forceShutdown();
		peers.close();
		strangers.close();
	});
	const state = await peers.readRank(address, 'g');
	assert.deepEqual(state.ok && [state.value.group, state.value.layers[0]?.tokens], ['g', [1, 2]]);
	const report = await peers.propose(address, {...Proposal.decode(new Uint8Array()), epoch: 7_000_001});
	assert.equal(report.ok && report.value.epoch, 7_000_001);
	const refused = await strangers.readRank(address, 'g');
	assert.equal(refused.ok, false);

	server.forceShutdown();
	const silent = await peers.readRank(address, 'g');
	assert.equal(silent.ok || silent.error.tag, 'no_answer');
});
