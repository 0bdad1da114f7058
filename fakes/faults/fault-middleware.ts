import type {Socket} from 'node:net';
import type {HttpBindings} from '@hono/node-server';
import type {Context, Next} from 'hono';
import {createMiddleware} from 'hono/factory';
import {match} from 'ts-pattern';
import {systemClock} from '../../src/core/system-clock.js';
import type {StandInApp} from '../http/stand-in.js';
import type {FaultControl} from './fault-control.js';

const READ_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD']);

/** Never resolves, so that the request gets no response. */
async function waitForever(): Promise<never> {
	return new Promise(() => {
		// Never settled on purpose.
	});
}

type StandInContext = Context<{Bindings: HttpBindings}>;

function socketOf(ctx: StandInContext): Socket {
	return ctx.env.incoming.socket;
}

async function runAndLoseReply(ctx: StandInContext, next: Next): Promise<never> {
	const socket = socketOf(ctx);
	await next();
	socket.destroy();
	return waitForever();
}

/** Tracks the open connections that carried a call and silences them on `silenceOpenConnections`. */
function createSilenceTracker(faults: FaultControl): Readonly<{track: (socket: Socket) => void; isSilent: (socket: Socket) => boolean}> {
	const openSockets = new Set<Socket>();
	const silentSockets = new WeakSet<Socket>();
	faults.registerSilenceListener(() => {
		for (const socket of openSockets) {
			silentSockets.add(socket);
			// Data written from now on stays in the buffer.
			socket.cork();
		}
	});

	return {
		track(socket) {
			if (openSockets.has(socket)) {
				return;
			}

			openSockets.add(socket);
			socket.once('close', () => {
				openSockets.delete(socket);
			});
		},
		isSilent: socket => silentSockets.has(socket),
	};
}

/** Applies the faults to every route under `/v1/`. */
export function registerFaultMiddleware(app: StandInApp, faults: FaultControl): void {
	const silenceTracker = createSilenceTracker(faults);

	const middleware = createMiddleware<{Bindings: HttpBindings}>(async (ctx, next) => {
		const socket = socketOf(ctx);
		silenceTracker.track(socket);
		// Reads the whole body first: a request still takes effect if its caller gives up while the stand-in is frozen.
		await ctx.req.arrayBuffer();
		await faults.waitWhileFrozen();
		await systemClock.sleep(faults.read().delayMillis);
		if (silenceTracker.isSilent(socket)) {
			return waitForever();
		}

		return match(faults.decide(!READ_METHODS.has(ctx.req.method)))
			.returnType<Promise<Response | void>>()
			.with('pass', async () => next())
			.with('outage', async () => ctx.json({tag: 'unavailable', detail: 'outage'}, 503))
			.with('silent', async () => waitForever())
			.with('reply_lost', async () => runAndLoseReply(ctx, next))
			.exhaustive();
	});
	app.use('/v1/*', middleware);
}
