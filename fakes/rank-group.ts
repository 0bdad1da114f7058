import {z} from 'zod';
import {systemClock} from '../src/core/system-clock.js';
import {createFabric, type Fabric} from './group/fabric.js';
import {readJson} from './http/read-json.js';
import {startStandIn, type StandIn, type StandInApp} from './http/stand-in.js';

/** Shape of a rank group. */
export type RankGroupOptions = Readonly<{
	listen: string;
	ranks: number;
	/** Time of a step with even load, in milliseconds. */
	baseStepMillis: number;
}>;

const rankSchema = z.number().int().nonnegative();
const joinSchema = z.strictObject({rank: rankSchema, engineIncarnation: z.string().min(1)});
const incarnationSchema = z.strictObject({groupIncarnation: z.string()});
const arrivalSchema = z.strictObject({
	rank: rankSchema,
	groupIncarnation: z.string().min(1),
	step: z.number().int().nonnegative(),
	epoch: z.number().int().nonnegative(),
	load: z.number().nonnegative(),
});

function addRoutes(app: StandInApp, fabric: Fabric): void {
	app.post('/v1/join', async ctx => {
		const join = await readJson(ctx, joinSchema);
		return join.ok
			? ctx.json(fabric.join(join.value.rank, join.value.engineIncarnation))
			: ctx.json(join.error, 400);
	});
	app.post('/v1/arrivals', async ctx => {
		const arrival = await readJson(ctx, arrivalSchema);
		return arrival.ok ? ctx.json(await fabric.arrive(arrival.value)) : ctx.json(arrival.error, 400);
	});
	app.post('/v1/next-incarnation', async ctx => {
		const known = await readJson(ctx, incarnationSchema);
		return known.ok
			? ctx.json({groupIncarnation: await fabric.nextIncarnation(known.value.groupIncarnation)})
			: ctx.json(known.error, 400);
	});
	app.post('/control/restart-group', ctx => {
		fabric.restart();
		return ctx.json({});
	});
}

/** Starts the lock-step of a rank group. Its records are a `FabricReport`. */
export async function createRankGroup(options: RankGroupOptions): Promise<StandIn> {
	const fabric = createFabric({...options, clock: systemClock});
	return startStandIn({
		listen: options.listen,
		addRoutes(app) {
			addRoutes(app, fabric);
		},
		records: fabric.report,
		reset: fabric.clearRecords,
	});
}
