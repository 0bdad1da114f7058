/**
 * Paces what a parser reads from a socket. The pause of undici can't be used for this: it fails an assertion if the connection ends
 * during the pause.
 */
import type {Socket} from 'node:net';
import {setImmediate} from 'node:timers';
import type {Clock} from '../core/clock.js';
import {MAX_PARSING_MILLIS, MAX_READ_BYTES, MIN_TIMED_READ_BYTES} from './gateway-constants.js';

/** Pace of the reads from one socket. */
export type SocketPace = Readonly<{
	/** Holds reads back, and with them the end of the connection; what the parser has read already still arrives. */
	pause: () => void;
	resume: () => void;
	/** Bytes that the parser has been given; fewer than have arrived while it is held back. */
	readParsedBytes: () => number;
}>;

export type SocketPaceOptions = Readonly<{
	clock: Clock;
	/** Called between the parser's reads, when everything it has been given is parsed; may destroy the socket. */
	onParsed: () => void;
}>;

/** Makes the parser read little at a time, and let the event loop turn once it has been busy for long. */
export function paceSocket(socket: Socket, {clock, onParsed}: SocketPaceOptions): SocketPace {
	const read = socket.read.bind(socket);
	const destroy = socket.destroy.bind(socket);
	let isPaused = false;
	let isYielding = false;
	let parsingMillis = 0;
	let parsedBytes = 0;
	/** Why the connection has failed, while the parser has not been given all that arrived before. */
	let failure: Error | undefined;
	/** Time at which the parser got what it has just parsed; undefined if that was little. */
	let readAtMillis: number | undefined;

	function readOn(): void {
		if (!isPaused && !isYielding && !socket.destroyed) {
			socket.emit('readable');
		}
	}

	function yieldTurn(): void {
		parsingMillis = 0;
		if (isYielding) {
			return;
		}

		isYielding = true;
		setImmediate(() => {
			isYielding = false;
			readOn();
		});
	}

	function noteParsed(): void {
		if (readAtMillis !== undefined) {
			parsingMillis += clock.monotonicMillis() - readAtMillis;
			readAtMillis = undefined;
		}

		if (parsingMillis >= MAX_PARSING_MILLIS) {
			yieldTurn();
		}
	}

	// The parser reads in a loop until nothing is left, and parses in between.
	socket.read = (size?: number): unknown => {
		noteParsed();
		onParsed();
		if (isPaused || isYielding || socket.destroyed) {
			return null;
		}

		if (failure && socket.readableLength === 0) {
			destroy(failure);
			return null;
		}

		const bytes: unknown = size === undefined && socket.readableLength > MAX_READ_BYTES ? read(MAX_READ_BYTES) : read(size);
		if (bytes instanceof Uint8Array) {
			parsedBytes += bytes.length;
			readAtMillis = bytes.length >= MIN_TIMED_READ_BYTES ? clock.monotonicMillis() : undefined;
		}

		return bytes;
	};

	// A failed connection discards what has not been read, which may be the rest of a whole answer.
	socket.destroy = (error?: Error) => {
		if (error === undefined || !('syscall' in error) || socket.readableLength === 0) {
			return destroy(error);
		}

		failure ??= error;
		// A failed stream does not say that it can be read.
		yieldTurn();
		return socket;
	};

	return {
		pause() {
			isPaused = true;
		},
		resume() {
			if (isPaused) {
				isPaused = false;
				// The caller may be a callback of a parser, and no parser of the process may be entered from there.
				yieldTurn();
			}
		},
		readParsedBytes: () => parsedBytes,
	};
}
