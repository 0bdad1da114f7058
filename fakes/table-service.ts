import {z} from 'zod';
import {readJson} from './http/read-json.js';
import {startStandIn, type StandIn, type StandInApp} from './http/stand-in.js';
import {createTableState, type TableState} from './state/table-state.js';

const conditionSchema = z.strictObject({
	table: z.string().min(1),
	key: z.string().min(1),
	version: z.number().int().nonnegative(),
});

/** A write without a value deletes the row. */
const writeSchema = z.strictObject({
	table: z.string().min(1),
	key: z.string().min(1),
	value: z.unknown().optional(),
});

const transactionSchema = z.strictObject({
	conditions: z.array(conditionSchema),
	writes: z.array(writeSchema),
});

function addRoutes(app: StandInApp, state: TableState): void {
	app.post('/v1/transactions', async ctx => {
		const tx = await readJson(ctx, transactionSchema);
		if (!tx.ok) {
			return ctx.json(tx.error, 400);
		}

		const {conditions, writes} = tx.value;
		const result = state.transact({conditions, writes: writes.map(({table, key, value}) => ({table, key, value}))});
		return result.ok ? ctx.json({rows: result.value}) : ctx.json(result.error, 409);
	});
	app.get('/v1/tables/:table/rows/:key', ctx => {
		const row = state.read(ctx.req.param('table'), ctx.req.param('key'));
		return row ? ctx.json(row) : ctx.json({tag: 'not_found'}, 404);
	});
	app.get('/v1/tables/:table/rows', ctx => {
		const rows = state.list(ctx.req.param('table'), ctx.req.query('prefix') ?? '');
		return ctx.json({rows});
	});
}

/** Starts a table service with no rows. Its records are `{history: Row[]}`, all writes in order. */
export async function createTableService({listen}: Readonly<{listen: string}>): Promise<StandIn> {
	const state = createTableState();
	return startStandIn({
		listen,
		addRoutes(app) {
			addRoutes(app, state);
		},
		records: () => ({history: state.history()}),
		reset: state.clear,
	});
}
