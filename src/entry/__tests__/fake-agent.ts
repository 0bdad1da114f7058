/** An agent for tests: a link server whose answers a test scripts, with a ledger of the keys it ran. */
import {Buffer} from 'node:buffer';
import {Server, ServerCredentials, type ServerDuplexStream} from '@grpc/grpc-js';
import {createAnswerSender, type AnswerSender} from '../../answer/answer-sender.js';
import {encodeTokens} from '../../answer/payload-units.js';
import type {LifeCycle} from '../../core/life-cycle.js';
import {
	AgentLinkService, type AgentFrame, type EntryFrame, type StartAttempt,
} from '../../wire/generated/link.js';

/** One attempt as a script sees it. */
export type FakeAttempt = Readonly<{
	start: StartAttempt;
	sender: AnswerSender;
	send: (body: NonNullable<AgentFrame['body']>) => void;
	/** Ends the stream without a word. */
	cutLink: () => void;
}>;

/** What an agent does with an attempt. */
export type Script = (attempt: FakeAttempt) => void | Promise<void>;

/** A running fake. Its fields are what a test looks at and changes. */
export type FakeAgent = {
	readonly agentId: string;
	readonly address: string;
	incarnation: string;
	script: Script;
	/** Frames are neither answered nor sent while this is set. */
	isSilent: boolean;
	/** Swallows this many start frames without a trace. */
	swallowStarts: number;
	configVersion: number;
	/** Start frames that were taken. */
	readonly starts: StartAttempt[];
	/** Executions by idempotency key. */
	readonly runs: Map<string, number>;
	readonly tombstones: Set<string>;
	readonly links: () => number;
	readonly cutLinks: () => void;
	readonly say: (body: NonNullable<AgentFrame['body']>) => void;
};

type Stream = ServerDuplexStream<EntryFrame, AgentFrame>;

/** Sends the tokens from the attempt's offset on and ends the answer. */
export function answerTokens(tokens: readonly string[]): Script {
	return ({start, sender, send}) => {
		for (const token of tokens.slice(start.offset)) {
			send({$case: 'data', data: sender.createData(encodeTokens([token]), 1)});
		}

		send({$case: 'end', end: sender.createEnd(200, false)});
	};
}

/** Sends a plain answer. */
export function answerBody(text: string): Script {
	return ({sender, send}) => {
		const bytes = Buffer.from(text);
		send({$case: 'data', data: sender.createData(bytes, bytes.byteLength)});
		send({$case: 'end', end: sender.createEnd(200, false)});
	};
}

/** Refuses the attempt. */
export function refuseWith(reason: string): Script {
	return ({start, send}) => {
		send({$case: 'refused', refused: {attemptId: start.attemptId, reason, retryAfterMillis: 0}});
	};
}

/** Starts a fake agent on a free port. */
export async function startFakeAgent(lifeCycle: LifeCycle, agentId: string, service: string, script: Script): Promise<FakeAgent> {
	const streams = new Set<Stream>();
	const ended = new Map<string, readonly Buffer[]>();
	const running = new Set<string>();
	const server = new Server();
	server.addService(AgentLinkService, {connect});
	const port = await new Promise<number>((resolve, reject) => {
		server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (err, bound) => {
			if (err) {
				reject(err);
			} else {
				resolve(bound);
			}
		});
	});
	lifeCycle.own(`fake agent ${agentId}`, () => {
		server.forceShutdown();
	});

	const agent: FakeAgent = {
		agentId,
		address: `127.0.0.1:${port}`,
		incarnation: `${agentId}-1`,
		script,
		isSilent: false,
		swallowStarts: 0,
		configVersion: 1,
		starts: [],
		runs: new Map(),
		tombstones: new Set(),
		links: () => streams.size,
		cutLinks() {
			for (const stream of streams) {
				stream.end();
			}
		},
		say(body) {
			for (const stream of streams) {
				write(stream, body);
			}
		},
	};

	function write(stream: Stream, body: NonNullable<AgentFrame['body']>): void {
		if (!agent.isSilent && streams.has(stream)) {
			stream.write({configVersion: agent.configVersion, body});
		}
	}

	function connect(stream: Stream): void {
		streams.add(stream);
		const forget = () => {
			streams.delete(stream);
		};

		stream.on('data', (frame: EntryFrame) => {
			if (!agent.isSilent && frame.body) {
				receive(stream, frame.body);
			}
		});
		stream.on('end', () => {
			forget();
			stream.end();
		});
		stream.on('cancelled', forget);
		stream.on('error', forget);
	}

	function receive(stream: Stream, body: NonNullable<EntryFrame['body']>): void {
		switch (body.$case) {
			case 'hello': {
				write(stream, {
					$case: 'hello', hello: {
						instanceId: agentId, incarnation: agent.incarnation, failureDomain: 'a', service, group: '', rank: -1, leaving: false,
					},
				});
				break;
			}

			case 'start': {
				takeStart(stream, body.start);
				break;
			}

			case 'tombstone': {
				const {attemptId} = body.tombstone;
				const recorded = !agent.starts.some(start => start.attemptId === attemptId);
				if (recorded) {
					agent.tombstones.add(attemptId);
				}

				write(stream, {$case: 'tombstoned', tombstoned: {attemptId, recorded}});
				break;
			}

			case 'query': {
				const {attemptId, idempotencyKey} = body.query;
				write(stream, {$case: 'status', status: {attemptId, idempotencyKey, state: readState(idempotencyKey)}});
				break;
			}

			default: {
				break;
			}
		}
	}

	function readState(key: string): string {
		if (ended.has(key)) {
			return 'answered';
		}

		return running.has(key) ? 'running' : 'never_seen';
	}

	function takeStart(stream: Stream, start: StartAttempt): void {
		if (agent.swallowStarts > 0) {
			agent.swallowStarts--;
			return;
		}

		if (agent.tombstones.has(start.attemptId)) {
			write(stream, {$case: 'refused', refused: {attemptId: start.attemptId, reason: 'tombstone', retryAfterMillis: 0}});
			return;
		}

		agent.starts.push(start);
		const first = ended.get(start.idempotencyKey);
		const sender = createAnswerSender(start.attemptId, start.offset);
		if (first) {
			for (const payload of first) {
				write(stream, {$case: 'data', data: sender.createData(payload, payload.byteLength)});
			}

			write(stream, {$case: 'end', end: sender.createEnd(200, true)});
			return;
		}

		void agent.script({
			start,
			sender,
			send(body) {
				noteRun(start, body);
				write(stream, body);
			},
			cutLink() {
				streams.delete(stream);
				stream.end();
			},
		});
	}

	/** A key counts as run with the first frame of its answer, and has ended with the end frame. */
	function noteRun(start: StartAttempt, body: NonNullable<AgentFrame['body']>): void {
		const key = start.idempotencyKey;
		if (key === '') {
			return;
		}

		if (body.$case === 'data' && !running.has(key)) {
			running.add(key);
			agent.runs.set(key, (agent.runs.get(key) ?? 0) + 1);
			pieces.set(key, []);
		}

		if (body.$case === 'data') {
			pieces.set(key, [...pieces.get(key) ?? [], body.data.payload]);
		}

		if (body.$case === 'end') {
			ended.set(key, pieces.get(key) ?? []);
		}
	}

	const pieces = new Map<string, readonly Buffer[]>();
	return agent;
}
