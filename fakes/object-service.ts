import {startStandIn, type StandIn, type StandInApp} from './http/stand-in.js';
import {createObjectState, type ObjectState} from './state/object-state.js';

function addRoutes(app: StandInApp, state: ObjectState): void {
	app.put('/v1/objects/:key', async ctx => {
		const bytes = new Uint8Array(await ctx.req.arrayBuffer());
		const result = state.create(ctx.req.param('key'), bytes);
		return result.ok ? ctx.json({}, 201) : ctx.json(result.error, 409);
	});
	app.get('/v1/objects/:key', ctx => {
		const bytes = state.read(ctx.req.param('key'));
		return bytes ? ctx.body(Uint8Array.from(bytes)) : ctx.json({tag: 'not_found'}, 404);
	});
	app.get('/v1/objects', ctx => ctx.json({keys: state.list(ctx.req.query('prefix') ?? '')}));
	app.put('/control/objects/:key', async ctx => {
		state.tamper(ctx.req.param('key'), new Uint8Array(await ctx.req.arrayBuffer()));
		return ctx.json({});
	});
	app.delete('/control/objects/:key', ctx => {
		state.tamper(ctx.req.param('key'), undefined);
		return ctx.json({});
	});
}

/**
 * Starts an object store with no objects; keys are percent-encoded in the path. Its records are `{keys: string[]}`.
 *
 * `PUT` and `DELETE /control/objects/:key` change or remove an object, which the store's own operations never do.
 */
export async function createObjectService({listen}: Readonly<{listen: string}>): Promise<StandIn> {
	const state = createObjectState();
	return startStandIn({
		listen,
		addRoutes(app) {
			addRoutes(app, state);
		},
		records: () => ({keys: state.list('')}),
		reset: state.clear,
	});
}
