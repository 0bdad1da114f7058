import type {FaultControl} from '../faults/fault-control.js';
import {faultChangeSchema} from '../faults/fault-switches.js';
import {readJson} from './read-json.js';
import type {StandInApp, StandInDefinition} from './stand-in.js';

/** Adds the routes that tests use to control a stand-in and to read its records. Faults do not affect them. */
export function registerControlRoutes(
	app: StandInApp,
	faults: FaultControl,
	{records, reset}: Pick<StandInDefinition, 'records' | 'reset'>,
): void {
	app.get('/control/records', ctx => ctx.json(records()));
	app.get('/control/faults', ctx => ctx.json(faults.read()));
	app.post('/control/faults', async ctx => {
		const change = await readJson(ctx, faultChangeSchema);
		if (!change.ok) {
			return ctx.json(change.error, 400);
		}

		faults.set(change.value);
		return ctx.json(faults.read());
	});
	app.post('/control/reset', ctx => {
		faults.reset();
		reset();
		return ctx.json({});
	});
}
