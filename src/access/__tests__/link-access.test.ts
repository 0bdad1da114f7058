import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {
	Server, status, type sendUnaryData, type ServerUnaryCall,
} from '@grpc/grpc-js';
import {createTestCertificate} from '../../../fakes/test-certificate.js';
import {
	RankVoteClient, RankVoteService, type RankQuery, type RankState,
} from '../../wire/generated/vote.js';
import {createLinkAccess, type LinkAccess} from '../link-access.js';

/** Deadline of a call, so that one without a connection fails. */
const CALL_TIMEOUT_MILLIS = 5000;

const STATE: RankState = {
	group: 'group-1',
	groupIncarnation: '',
	rank: 0,
	agentId: 'agent-1',
	agentIncarnation: '',
	step: 0,
	mapEpoch: 0,
	stepMillis: 0,
	reportAgeMillis: 0,
	layers: [],
	map: undefined,
	checksFencing: true,
	pending: false,
};

/** Starts a server that answers authorised callers only; resolves to its address. */
async function startServer(t: TestContext, access: LinkAccess): Promise<string> {
	const server = new Server();
	server.addService(RankVoteService, {
		readRank(call: ServerUnaryCall<RankQuery, RankState>, reply: sendUnaryData<RankState>) {
			if (access.isAuthorised(call.metadata)) {
				reply(null, STATE);
			} else {
				reply({code: status.UNAUTHENTICATED});
			}
		},
	});
	t.after(() => {
		server.forceShutdown();
	});
	return new Promise((resolve, reject) => {
		server.bindAsync('127.0.0.1:0', access.server, (err, port) => {
			if (err) {
				reject(err);
			} else {
				resolve(`127.0.0.1:${port}`);
			}
		});
	});
}

async function call(address: string, access: LinkAccess): Promise<number> {
	const client = new RankVoteClient(address, access.channel);
	const code = await new Promise<number>(resolve => {
		client.readRank({group: 'group-1', token: ''}, access.createMetadata(), {deadline: Date.now() + CALL_TIMEOUT_MILLIS}, err => {
			resolve(err?.code ?? status.OK);
		});
	});
	client.close();
	return code;
}

const ours = createTestCertificate();
const foreign = createTestCertificate();

const cases: ReadonlyArray<Readonly<{name: string; peer: () => LinkAccess; expected: number}>> = [
	{name: 'a peer with our certificate and token is admitted', peer: () => createLinkAccess('token', ours), expected: status.OK},
	{name: 'a peer with a wrong token is refused', peer: () => createLinkAccess('other', ours), expected: status.UNAUTHENTICATED},
	{name: 'a peer without a token is refused', peer: () => createLinkAccess(undefined, ours), expected: status.UNAUTHENTICATED},
	{
		name: 'a peer with a certificate of another authority is refused',
		peer: () => createLinkAccess('token', {...foreign, authority: ours.authority}),
		expected: status.UNAVAILABLE,
	},
	{name: 'a peer without TLS is refused', peer: () => createLinkAccess('token', undefined), expected: status.UNAVAILABLE},
];

for (const {name, peer, expected} of cases) {
	test(`access between processes: ${name}`, async t => {
		const address = await startServer(t, createLinkAccess('token', ours));
		assert.equal(await call(address, peer()), expected);
	});
}

test('access between processes: a server of another authority is not trusted', async t => {
	const address = await startServer(t, createLinkAccess('token', foreign));
	assert.equal(await call(address, createLinkAccess('token', ours)), status.UNAVAILABLE);
});
