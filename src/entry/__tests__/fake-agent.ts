/** Fake agent: a link server whose answers the test scripts, with a ledger of the keys that it ran. */
import {Buffer} from 'node:buffer';
import {Server, ServerCredentials, type ServerDuplexStream} from '@grpc/grpc-js';
import {createAnswerSender, type AnswerSender} from '../../answer/answer-sender.js';
import {encodeTokens} from '../../answer/payload-units.js';
import {createConfigDocument, parseConfigDocument} from '../../configuration/configuration-document.js';
import type {Configuration} from '../../configuration/configuration.js';
import type {LifeCycle} from '../../core/life-cycle.js';
import {digestKey} from '../../ledger/key-digest.js';
import type {JoinedOutcome} from '../../ledger/ledger-types.js';
import {createLedger, createLedgerLimits, type Ledger} from '../../ledger/ledger.js';
import {
	AgentLinkService, type AgentFrame, type ConfigDocument, type EntryFrame, type StartAttempt,
} from '../../wire/generated/link.js';

/** One attempt as it is passed to a script. */
export type FakeAttempt = Readonly<{
	start: StartAttempt;
	sender: AnswerSender;
	send: (body: NonNullable<AgentFrame['body']>) => void;
	/** Ends the stream of the link without a further frame. */
	closeLink: () => void;
}>;

/** How an agent handles an attempt. */
export type Script = (attempt: FakeAttempt) => void | Promise<void>;

/** A running fake agent. Tests read and change its fields. */
export type FakeAgent = {
	readonly agentId: string;
	readonly address: string;
	incarnation: string;
	script: Script;
	isLeaving: boolean;
	/** While set, every attempt is refused for this reason. */
	refusalReason: string | undefined;
	/** Number of coming start frames that are dropped without a record. */
	startsToDrop: number;
	/** While set, start frames are delayed as if still in transit. */
	delaysStarts: boolean;
	readonly delayedStartCount: () => number;
	/** Delivers the delayed start frames. */
	readonly deliverDelayedStarts: () => void;
	/** Whether configurations that entries send are put into force. */
	acceptsConfigurations: boolean;
	/** While set, no tombstone is recorded. */
	refusesTombstones: boolean;
	/** Configuration in force at the agent; attempts of entries on an older version are refused. */
	configuration: Configuration | undefined;
	/** Accepted start frames. */
	readonly starts: StartAttempt[];
	/** Idempotency keys of the calls that ran, one for each execution. */
	readonly executedKeys: string[];
	/** Replaced on a restart. */
	ledger: Ledger;
	readonly tombstones: Set<string>;
	/** Attempts that the entry cancelled. */
	readonly cancelled: string[];
	/** Number of coming links that are ended before their hello. */
	linksToRefuse: number;
	readonly closeLinks: () => void;
	/** Stops all traffic on the present links without closing them; new links work. */
	readonly stallLinks: () => void;
	readonly broadcast: (body: NonNullable<AgentFrame['body']>) => void;
	/** Ends all links and continues as a new incarnation with an empty ledger. */
	readonly restart: () => void;
};

type Stream = ServerDuplexStream<EntryFrame, AgentFrame>;

/** Sends the tokens from the attempt's offset, then the end of the answer. */
export function answerTokens(tokens: readonly string[]): Script {
	return ({start, sender, send}) => {
		for (const token of tokens.slice(start.offset)) {
			send({$case: 'data', data: sender.createData(encodeTokens([token]), 1)});
		}

		send({$case: 'end', end: sender.createEnd(200, false)});
	};
}

/** Sends the answer of a plain service. */
export function answerBody(text: string): Script {
	return ({sender, send}) => {
		const bytes = Buffer.from(text);
		send({$case: 'data', data: sender.createData(bytes, bytes.byteLength)});
		send({$case: 'end', end: sender.createEnd(200, false)});
	};
}

export function refuseWith(reason: string): Script {
	return ({start, send}) => {
		send({$case: 'refused', refused: {attemptId: start.attemptId, reason, retryAfterMillis: 0}});
	};
}

/** Starts a fake agent on a free port. */
export async function startFakeAgent(lifeCycle: LifeCycle, agentId: string, service: string, script: Script): Promise<FakeAgent> {
	const streams = new Set<Stream>();
	const stalled = new WeakSet<Stream>();
	const delayed: Array<() => void> = [];
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
		isLeaving: false,
		refusalReason: undefined,
		refusesTombstones: false,
		acceptsConfigurations: false,
		delaysStarts: false,
		delayedStartCount: () => delayed.length,
		deliverDelayedStarts() {
			for (const deliver of delayed.splice(0)) {
				deliver();
			}
		},
		startsToDrop: 0,
		linksToRefuse: 0,
		configuration: undefined,
		starts: [],
		executedKeys: [],
		ledger: createLedger(`${agentId}-1`, createLedgerLimits(100)),
		tombstones: new Set(),
		cancelled: [],
		stallLinks() {
			for (const stream of streams) {
				stalled.add(stream);
			}
		},
		closeLinks() {
			for (const stream of streams) {
				stream.end();
			}
		},
		restart() {
			agent.incarnation = `${agentId}-2`;
			agent.ledger = createLedger(agent.incarnation, createLedgerLimits(100));
			agent.closeLinks();
		},
		broadcast(body) {
			for (const stream of streams) {
				write(stream, body);
			}
		},
	};

	function write(stream: Stream, body: NonNullable<AgentFrame['body']>): void {
		if (!stalled.has(stream) && streams.has(stream)) {
			stream.write({configVersion: agent.configuration?.version ?? 0, body});
		}
	}

	function connect(stream: Stream): void {
		if (agent.linksToRefuse > 0) {
			agent.linksToRefuse--;
			stream.end();
			return;
		}

		streams.add(stream);
		const removeStream = () => {
			streams.delete(stream);
		};

		stream.on('data', (frame: EntryFrame) => {
			if (!stalled.has(stream) && frame.body) {
				handleBody(stream, frame.body, frame.configVersion);
			}
		});
		stream.on('end', () => {
			removeStream();
			stream.end();
		});
		stream.on('cancelled', removeStream);
		stream.on('error', removeStream);
	}

	function handleBody(stream: Stream, body: NonNullable<EntryFrame['body']>, entryVersion: number): void {
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
				const {start} = body;
				const deliver = () => {
					handleStart(stream, start, entryVersion);
				};

				if (agent.delaysStarts) {
					delayed.push(deliver);
				} else {
					deliver();
				}

				break;
			}

			case 'tombstone': {
				const {attemptId} = body.tombstone;
				const recorded = !agent.refusesTombstones && !agent.starts.some(start => start.attemptId === attemptId);
				if (recorded) {
					agent.tombstones.add(attemptId);
				}

				write(stream, {$case: 'tombstoned', tombstoned: {attemptId, recorded}});
				break;
			}

			case 'query': {
				const {attemptId, account, idempotencyKey} = body.query;
				const state = agent.ledger.readState(digestKey(account, idempotencyKey))?.tag ?? 'never_seen';
				write(stream, {$case: 'status', status: {attemptId, idempotencyKey, state}});
				break;
			}

			case 'configRequest': {
				if (agent.configuration) {
					write(stream, {$case: 'config', config: createConfigDocument(agent.configuration)});
				}

				break;
			}

			case 'config': {
				handleConfiguration(body.config);
				break;
			}

			case 'heartbeat': {
				write(stream, {$case: 'leaving', leaving: {leaving: agent.isLeaving}});
				break;
			}

			case 'cancel': {
				agent.cancelled.push(body.cancel.attemptId);
				break;
			}
		}
	}

	function handleStart(stream: Stream, start: StartAttempt, entryVersion: number): void {
		if (agent.startsToDrop > 0) {
			agent.startsToDrop--;
			return;
		}

		if (agent.tombstones.has(start.attemptId)) {
			refuse(stream, start, 'tombstone');
			return;
		}

		const refusal = entryVersion < (agent.configuration?.version ?? 0) ? 'stale_configuration' : agent.refusalReason;
		if (refusal !== undefined) {
			refuse(stream, start, refusal);
			return;
		}

		agent.starts.push(start);
		if (start.idempotent) {
			runScript(stream, start, body => {
				write(stream, body);
			});
			return;
		}

		void runOnce(stream, start);
	}

	function handleConfiguration(document: ConfigDocument): void {
		const parsed = parseConfigDocument(document);
		if (agent.acceptsConfigurations && parsed.ok) {
			agent.configuration = parsed.value;
			agent.broadcast({$case: 'config', config: document});
		}
	}

	function refuse(stream: Stream, {attemptId}: StartAttempt, reason: string): void {
		write(stream, {$case: 'refused', refused: {attemptId, reason, retryAfterMillis: 0}});
	}

	function runScript(stream: Stream, start: StartAttempt, send: FakeAttempt['send']): void {
		void agent.script({
			start,
			sender: createAnswerSender(start.attemptId, start.offset),
			send,
			closeLink() {
				streams.delete(stream);
				stream.end();
			},
		});
	}

	/** Lets the ledger decide whether the call runs, as a real agent does. */
	async function runOnce(stream: Stream, start: StartAttempt): Promise<void> {
		const keyDigest = digestKey(start.account, start.idempotencyKey);
		const decision = agent.ledger.begin({...start, keyDigest});
		switch (decision.tag) {
			case 'run': {
				runFirst(stream, start, keyDigest);
				break;
			}

			case 'join': {
				sendEnd(stream, start, await decision.end);
				break;
			}

			case 'ended': {
				sendEnd(stream, start, decision.end);
				break;
			}

			case 'refused': {
				refuse(stream, start, decision.reason);
				break;
			}
		}
	}

	/** Runs the script; the call counts as executed when the script sends the first data frame. */
	function runFirst(stream: Stream, start: StartAttempt, keyDigest: string): void {
		let answer: Uint8Array | undefined;
		runScript(stream, start, body => {
			if (body.$case === 'data' && !answer) {
				answer = body.data.payload;
				agent.executedKeys.push(start.idempotencyKey);
			}

			if (body.$case === 'refused') {
				agent.ledger.release(keyDigest);
			}

			if (body.$case === 'end') {
				agent.ledger.finish(keyDigest, {tag: 'answered', status: body.end.status, body: answer});
			}

			write(stream, body);
		});
	}

	function sendEnd(stream: Stream, start: StartAttempt, end: JoinedOutcome): void {
		if (end.tag !== 'answered' || !end.body) {
			write(stream, {$case: 'broken', broken: {attemptId: start.attemptId, reason: end.tag}});
			return;
		}

		const sender = createAnswerSender(start.attemptId, 0);
		write(stream, {$case: 'data', data: sender.createData(end.body, end.body.byteLength)});
		write(stream, {$case: 'end', end: sender.createEnd(end.status, true)});
	}

	return agent;
}
