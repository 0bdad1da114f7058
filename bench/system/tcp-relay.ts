import {connect, createServer, type Socket} from 'node:net';
import {invariant} from '../../src/core/invariant.js';

/** Something between two ends that may lose track of their connections. */
export type TcpRelay = Readonly<{
	/** Open connections go silent for good; new ones work. */
	silenceOpen: () => void;
	/** Open connections are reset, and new ones are, until `heal`. */
	cut: () => void;
	heal: () => void;
	close: () => Promise<void>;
}>;

type Pair = Readonly<{inner: Socket; outer: Socket}>;

function destroyPair({inner, outer}: Pair): void {
	inner.destroy();
	outer.destroy();
}

function silencePair({inner, outer}: Pair): void {
	inner.unpipe(outer);
	outer.unpipe(inner);
	inner.resume();
	outer.resume();
}

/** Relays connections to `listenPort` on loopback to `targetPort` on loopback. */
export async function startTcpRelay(listenPort: number, targetPort: number): Promise<TcpRelay> {
	const pairs = new Set<Pair>();
	let isCut = false;

	const server = createServer(outer => {
		if (isCut) {
			outer.resetAndDestroy();
			return;
		}

		const inner = connect(targetPort, '127.0.0.1');
		const pair = {inner, outer};
		pairs.add(pair);
		for (const socket of [inner, outer]) {
			socket.on('error', () => {
				destroyPair(pair);
			});
			socket.on('close', () => {
				destroyPair(pair);
				pairs.delete(pair);
			});
		}

		outer.pipe(inner);
		inner.pipe(outer);
	});
	await new Promise<void>(resolve => {
		server.listen(listenPort, '127.0.0.1', resolve);
	});
	invariant(server.listening, 'the relay listens');

	return {
		silenceOpen() {
			for (const pair of pairs) {
				silencePair(pair);
			}
		},
		cut() {
			isCut = true;
			for (const pair of pairs) {
				destroyPair(pair);
			}
		},
		heal() {
			isCut = false;
		},
		async close() {
			for (const pair of pairs) {
				destroyPair(pair);
			}

			await new Promise(resolve => {
				server.close(resolve);
			});
		},
	};
}
