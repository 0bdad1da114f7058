import type {Socket} from 'node:net';
import type {HttpBindings} from '@hono/node-server';
import type {Context, Next} from 'hono';
import {createMiddleware} from 'hono/factory';
import {match} from 'ts-pattern';
import {systemClock} from '../../src/core/system-clock.js';
import type {StandInApp} from '../http/stand-in.js';
import type {FaultControl} from './fault-control.js';

const READ_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD']);

/** Never resolves: the request gets no answer. */
async function never(): Promise<never> {
	return new Promise(() => {
		// Nothing settles it.
	});
}

type StandInContext = Context<{Bindings: HttpBindings}>;

function socketOf(ctx: StandInContext): Socket {
	return ctx.env.incoming.socket;
}

async function loseReply(ctx: StandInContext, next: Next): Promise<never> {
	const socket = socketOf(ctx);
	await next();
	socket.destroy();
	return never();
}

/** Remembers the connections that carried a call, and makes them silent on demand. */
function createSilencer(faults: FaultControl): Readonly<{track: (socket: Socket) => void; isSilent: (socket: Socket) => boolean}> {
	const open = new Set<Socket>();
	const silent = new WeakSet<Socket>();
	faults.registerSilencer(() => {
		for (const socket of open) {
			silent.add(socket);
			// What is written from now on stays in the buffer.
			socket.cork();
		}
	});

	return {
		track(socket) {
			if (open.has(socket)) {
				return;
			}

			open.add(socket);
			socket.once('close', () => {
				open.delete(socket);
			});
		},
		isSilent: socket => silent.has(socket),
	};
}

/** Puts the faults before every route under `/v1/`. */
export function registerFaultMiddleware(app: StandInApp, faults: FaultControl): void {
	const silencer = createSilencer(faults);

	const middleware = createMiddleware<{Bindings: HttpBindings}>(async (ctx, next) => {
		const socket = socketOf(ctx);
		silencer.track(socket);
		// A caller that gives up while the stand-in is frozen has sent its request all the same.
		await ctx.req.arrayBuffer();
		await faults.waitWhileFrozen();
		await systemClock.sleep(faults.read().delayMillis);
		if (silencer.isSilent(socket)) {
			return never();
		}

		return match(faults.judge(!READ_METHODS.has(ctx.req.method)))
			.returnType<Promise<Response | void>>()
			.with('pass', async () => next())
			.with('outage', async () => ctx.json({tag: 'unavailable', detail: 'outage'}, 503))
			.with('silent', async () => never())
			.with('reply_lost', async () => loseReply(ctx, next))
			.exhaustive();
	});
	app.use('/v1/*', middleware);
}
