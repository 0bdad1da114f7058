import {once} from 'node:events';
import {
	connect, createServer, type Server as SocketServer, type Socket,
} from 'node:net';
import process from 'node:process';
import {
	ChannelCredentials, Server, ServerCredentials, type ServerDuplexStream,
} from '@grpc/grpc-js';
import {invariant} from '../../src/core/invariant.js';
import {
	AgentLinkClient, AgentLinkService, type AgentFrame, type EntryFrame,
} from '../../src/wire/generated/link.js';
import type {CapacityFigure} from './capacity-decisions.js';
import {round} from './distributions.js';

const LOOPBACK = '127.0.0.1';
/** Measured rounds; a round is one heartbeat and one load report on each link. */
const ROUND_COUNT = 100;
/** Rounds before the measurement begins. */
const WARM_UP_ROUND_COUNT = 20;

const heartbeat: EntryFrame = {configVersion: 1200, body: {$case: 'heartbeat', heartbeat: {sequence: 100_000}}};
const loadReport: AgentFrame = {
	configVersion: 1200,
	body: {
		$case: 'heartbeat',
		heartbeat: {
			sequence: 100_000, inFlight: 30, queued: 2, ageMillis: 2500, stepMillis: 31.5, tokensPerSecond: 2400, cacheEvents: [], cacheGap: false,
		},
	},
};

function ignoreError(): void {
	// The stream is cancelled at the end of the measurement.
}

type CountingProxy = Readonly<{server: SocketServer; port: number; readBytes: () => number}>;

function forwardBytes(from: Socket, to: Socket, noteBytes: (bytes: number) => void): void {
	from.on('data', (chunk: Uint8Array) => {
		noteBytes(chunk.length);
	});
	from.on('error', () => {
		to.destroy();
	});
	from.pipe(to);
}

/** Starts a TCP proxy to a port that counts the bytes of both directions. */
async function startProxy(targetPort: number): Promise<CountingProxy> {
	let bytes = 0;
	const noteBytes = (additionalBytes: number) => {
		bytes += additionalBytes;
	};

	const server = createServer(clientSocket => {
		const targetSocket = connect(targetPort, LOOPBACK);
		forwardBytes(clientSocket, targetSocket, noteBytes);
		forwardBytes(targetSocket, clientSocket, noteBytes);
	});
	server.listen(0, LOOPBACK);
	await once(server, 'listening');
	const address = server.address();
	invariant(address !== null && typeof address === 'object', 'a listening server has an address');
	return {server, port: address.port, readBytes: () => bytes};
}

async function startAgentServer(): Promise<Readonly<{server: Server; port: number}>> {
	const server = new Server();
	server.addService(AgentLinkService, {
		connect(call: ServerDuplexStream<EntryFrame, AgentFrame>) {
			call.on('data', () => {
				call.write(loadReport);
			});
			call.on('end', () => {
				call.end();
			});
		},
	});
	const port = await new Promise<number>((resolve, reject) => {
		server.bindAsync(`${LOOPBACK}:0`, ServerCredentials.createInsecure(), (err, bound) => {
			if (err) {
				reject(err);
			} else {
				resolve(bound);
			}
		});
	});
	return {server, port};
}

/** Measures processor time and bytes of a heartbeat and its load report over gRPC links with both ends in this process. */
export async function measureLinks(links: number): Promise<readonly CapacityFigure[]> {
	const agent = await startAgentServer();
	const proxy = await startProxy(agent.port);
	const options = {'grpc.use_local_subchannel_pool': 1, 'grpc.enable_retries': 0};
	const clients = Array.from({length: links}, () => new AgentLinkClient(`${LOOPBACK}:${proxy.port}`, ChannelCredentials.createInsecure(), options));
	const streams = clients.map(client => client.connect());
	const runRounds = async (rounds: number) => {
		for (let i = 0; i < rounds; i++) {
			const answers = streams.map(async stream => once(stream, 'data'));
			for (const stream of streams) {
				stream.write(heartbeat);
			}

			// A round starts when the previous one has ended.
			// eslint-disable-next-line no-await-in-loop
			await Promise.all(answers);
		}
	};

	await runRounds(WARM_UP_ROUND_COUNT);
	const bytesBefore = proxy.readBytes();
	const cpuBefore = process.cpuUsage();
	await runRounds(ROUND_COUNT);
	const cpuUsed = process.cpuUsage(cpuBefore);
	const bytes = proxy.readBytes() - bytesBefore;
	for (const [i, stream] of streams.entries()) {
		stream.on('error', ignoreError);
		stream.cancel();
		clients[i]?.close();
	}

	agent.server.forceShutdown();
	proxy.server.close();
	return [
		{
			name: 'heartbeat and report, both ends and the counting proxy', per: 'links', size: links, value: round((cpuUsed.user + cpuUsed.system) / (ROUND_COUNT * links), 1), unit: 'microseconds',
		},
		{
			name: 'heartbeat and report on the wire, without IP and TCP headers', per: 'links', size: links, value: Math.round(bytes / (ROUND_COUNT * links)), unit: 'bytes',
		},
	];
}
