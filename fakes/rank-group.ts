import {z} from 'zod';
import {systemClock} from '../src/core/system-clock.js';
import {createStepBarrier, type StepBarrier} from './group/step-barrier.js';
import {readJson} from './http/read-json.js';
import {startStandIn, type StandIn, type StandInApp} from './http/stand-in.js';

/** Options of a rank group. */
export type RankGroupOptions = Readonly<{
	listen: string;
	ranks: number;
	/** Duration of a step if all ranks have the same load, in milliseconds. */
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

function addRoutes(app: StandInApp, barrier: StepBarrier): void {
	app.post('/v1/join', async ctx => {
		const join = await readJson(ctx, joinSchema);
		return join.ok
			? ctx.json(barrier.join(join.value.rank, join.value.engineIncarnation))
			: ctx.json(join.error, 400);
	});
	app.post('/v1/arrivals', async ctx => {
		const arrival = await readJson(ctx, arrivalSchema);
		return arrival.ok ? ctx.json(await barrier.arrive(arrival.value)) : ctx.json(arrival.error, 400);
	});
	app.post('/v1/next-incarnation', async ctx => {
		const known = await readJson(ctx, incarnationSchema);
		return known.ok
			? ctx.json({groupIncarnation: await barrier.nextIncarnation(known.value.groupIncarnation)})
			: ctx.json(known.error, 400);
	});
	app.post('/control/restart-group', ctx => {
		barrier.restart();
		return ctx.json({});
	});
}

/** Starts a rank group, whose ranks run in lock-step. Its records are a `StepReport`. */
export async function createRankGroup(options: RankGroupOptions): Promise<StandIn> {
	const barrier = createStepBarrier({...options, clock: systemClock});
	return startStandIn({
		listen: options.listen,
		addRoutes(app) {
			addRoutes(app, barrier);
		},
		records: barrier.report,
		reset: barrier.clearRecords,
	});
}
