/** The entry's end of a link, driven by a test. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type {LinkAccess} from '../../access/link-access.js';
import {
	AgentLinkClient, type AgentFrame, type EntryFrame, type StartAttempt,
} from '../../wire/generated/link.js';

type AgentBody = NonNullable<AgentFrame['body']>;
type BodyCase = AgentBody['$case'];
type BodyOf<C extends BodyCase> = Extract<AgentBody, {$case: C}>;

export type LinkProbe = Readonly<{
	send: (configVersion: number, body: EntryFrame['body']) => void;
	/** Takes the first frame of the kind that has arrived and was not taken yet, or waits for one. */
	take: <C extends BodyCase>(kind: C) => Promise<BodyOf<C>>;
	/** Takes a frame like `take` and returns what `pick` selects from it. */
	read: <C extends BodyCase, T>(kind: C, pick: (body: BodyOf<C>) => T) => Promise<T>;
	/** Resolves when the link ends, with the error message or `end`. */
	ended: Promise<string>;
	close: () => void;
}>;

export function openLinkProbe(address: string, access: LinkAccess): LinkProbe {
	const client = new AgentLinkClient(address, access.channel, {'grpc.use_local_subchannel_pool': 1});
	const call = client.connect(access.createMetadata());
	const arrived: AgentBody[] = [];
	const arrival = new EventTarget();
	call.on('data', (frame: AgentFrame) => {
		if (frame.body) {
			arrived.push(frame.body);
			arrival.dispatchEvent(new Event('frame'));
		}
	});
	const ended = new Promise<string>(resolve => {
		call.on('error', err => {
			resolve(err.message);
		});
		call.on('end', () => {
			resolve('end');
		});
	});

	async function take<C extends BodyCase>(kind: C): Promise<BodyOf<C>> {
		for (;;) {
			const index = arrived.findIndex(body => body.$case === kind);
			if (index !== -1) {
				// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
				return arrived.splice(index, 1)[0] as BodyOf<C>;
			}

			// eslint-disable-next-line no-await-in-loop
			await once(arrival, 'frame');
		}
	}

	return {
		send(configVersion, body) {
			call.write({configVersion, body});
		},
		take,
		read: async (kind, pick) => pick(await take(kind)),
		ended,
		close() {
			call.cancel();
			client.close();
		},
	};
}

export function createStart(attemptId: string, changes: Partial<StartAttempt> = {}): StartAttempt {
	return {
		attemptId,
		requestId: `request-of-${attemptId}`,
		account: 'workshop',
		workClass: 'booking',
		service: 'bookings',
		remainingMillis: 30_000,
		idempotent: false,
		idempotencyKey: '',
		requestDigest: 'digest',
		boundIncarnation: '',
		offset: 0,
		priority: 1,
		body: Buffer.from('{}'),
		...changes,
	};
}
