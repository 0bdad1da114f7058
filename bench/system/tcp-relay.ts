import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';
import {invariant} from '../../src/core/invariant.js';
import {listenOn} from '../../src/core/listen-on.js';

/** Way of the bytes that a relay drops. */
export type SilentWay = 'none' | 'requests' | 'answers' | 'both';

/** Something between two ends that may lose track of their connections. */
export type TcpRelay = Readonly<{
	/** Where it listens, as `IP:port`. */
	address: string;
	/** Open connections go silent for good; new ones work. */
	silenceOpen: () => void;
	/** Open connections are reset, and new ones are, until `heal`. */
	cut: () => void;
	/** Bytes of one way or both, of open and of new connections, are dropped until `heal`. */
	silence: (way: SilentWay) => void;
	/** Bytes arrive later by this, in milliseconds, until `heal`. */
	delay: (millis: number) => void;
	/** Open connections are reset; new ones work. */
	resetOpen: () => void;
	heal: () => void;
	close: () => Promise<void>;
}>;

type Pair = {readonly inner: Socket; readonly outer: Socket; isSilent: boolean};

const LOOPBACK = '127.0.0.1';

function destroyPair({inner, outer}: Pair): void {
	inner.destroy();
	outer.destroy();
}

/** Where a relay listens; port 0 takes a free one. */
export type RelayPlace = Readonly<{host?: string; port: number}>;

/** Relays connections to `place` on loopback to `targetPort` on loopback. */
export async function startTcpRelay({host = LOOPBACK, port}: RelayPlace, targetPort: number): Promise<TcpRelay> {
	const pairs = new Set<Pair>();
	let isCut = false;
	let silentWay: SilentWay = 'none';
	let delayMillis = 0;

	/** Passes bytes on in their order, each after the delay that holds when it comes. */
	function pump(pair: Pair, from: Socket, to: Socket, way: SilentWay): void {
		// Timers alone do not keep the order: each counts from the time at which the event loop last looked at the clock.
		let queue: ReadonlyArray<Readonly<{dueMillis: number; action: () => void}>> = [];
		const flush = () => {
			const nowMillis = performance.now();
			while (queue[0] && queue[0].dueMillis <= nowMillis) {
				const [first, ...rest] = queue;
				queue = rest;
				first?.action();
			}

			if (queue[0]) {
				setTimeout(flush, queue[0].dueMillis - nowMillis);
			}
		};

		const later = (action: () => void) => {
			const dueMillis = Math.max(queue.at(-1)?.dueMillis ?? 0, performance.now() + delayMillis);
			queue = [...queue, {dueMillis, action}];
			if (queue.length === 1) {
				flush();
			}
		};

		const isSilent = () => pair.isSilent || silentWay === way || silentWay === 'both';
		from.on('data', bytes => {
			if (!isSilent()) {
				later(() => {
					to.write(bytes);
				});
			}
		});
		from.on('end', () => {
			if (!isSilent()) {
				later(() => {
					to.end();
				});
			}
		});
	}

	function resetOpen(): void {
		for (const pair of pairs) {
			pair.outer.resetAndDestroy();
			pair.inner.resetAndDestroy();
		}
	}

	const server = createServer({allowHalfOpen: true}, outer => {
		if (isCut) {
			outer.resetAndDestroy();
			return;
		}

		const inner = connect({host: LOOPBACK, port: targetPort, allowHalfOpen: true});
		const pair: Pair = {inner, outer, isSilent: false};
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

		pump(pair, outer, inner, 'requests');
		pump(pair, inner, outer, 'answers');
	});
	const listening = await listenOn(server, `${host}:${port}`);
	invariant(listening.ok, 'the relay listens');

	return {
		address: `${host}:${listening.value}`,
		silenceOpen() {
			for (const pair of pairs) {
				pair.isSilent = true;
			}
		},
		cut() {
			isCut = true;
			for (const pair of pairs) {
				destroyPair(pair);
			}
		},
		silence(way) {
			silentWay = way;
		},
		delay(millis) {
			delayMillis = millis;
		},
		resetOpen,
		heal() {
			isCut = false;
			silentWay = 'none';
			delayMillis = 0;
		},
		async close() {
			for (const pair of pairs) {
				destroyPair(pair);
			}

			server.close();
			await once(server, 'close');
		},
	};
}
