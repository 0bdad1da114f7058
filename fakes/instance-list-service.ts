import {z} from 'zod';
import {systemClock} from '../src/core/system-clock.js';
import type {Instance} from '../src/ports/instance-list.js';
import {readJson} from './http/read-json.js';
import {startStandIn, type StandIn, type StandInApp} from './http/stand-in.js';
import {createLaggingValue, type LaggingValue} from './state/lagging-value.js';

const instanceSchema = z.strictObject({
	id: z.string().min(1),
	role: z.enum(['entry', 'agent']),
	region: z.string(),
	failureDomain: z.string(),
	state: z.enum(['live', 'leaving']),
	callerUrl: z.string(),
	linkAddress: z.string(),
	service: z.string(),
	group: z.string(),
	rank: z.number().int().min(-1),
});

const instancesChangeSchema = z.strictObject({
	instances: z.array(instanceSchema),
	/** Lag of this change and of later ones, in milliseconds. */
	lagMillis: z.number().nonnegative().optional(),
});

function addRoutes(app: StandInApp, state: LaggingValue<readonly Instance[]>): void {
	app.get('/v1/instances', ctx => ctx.json({instances: state.read()}));
	app.put('/control/instances', async ctx => {
		const change = await readJson(ctx, instancesChangeSchema);
		if (!change.ok) {
			return ctx.json(change.error, 400);
		}

		if (change.value.lagMillis !== undefined) {
			state.setLag(change.value.lagMillis);
		}

		state.set(change.value.instances);
		return ctx.json({});
	});
}

/** Starts an empty instance list; it shows `PUT /control/instances {instances}` after `lagMillis`. */
export async function createInstanceListService({listen, lagMillis}: Readonly<{listen: string; lagMillis: number}>): Promise<StandIn> {
	const state = createLaggingValue<readonly Instance[]>(systemClock, [], lagMillis);
	return startStandIn({
		listen,
		addRoutes(app) {
			addRoutes(app, state);
		},
		records: () => ({truth: state.current(), shown: state.read()}),
		reset() {
			state.set([]);
		},
	});
}
