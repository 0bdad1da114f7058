import {defineCommand} from 'citty';
import {createPlainBackend} from '../plain-backend.js';
import {listenArgument, readNumbers} from './arguments.js';
import {runStandIn} from './run-stand-in.js';

/** Runs a plain service. */
export const plainCommand = defineCommand({
	meta: {name: 'plain', description: 'Plain service that counts its executions'},
	args: {
		listen: listenArgument,
		'work-millis': {type: 'string', default: '5', description: 'Duration of one call'},
		'load-lag-millis': {type: 'string', default: '200', description: 'Age of the reported load'},
	},
	run: async ({args}) => runStandIn(readNumbers(args, ['work-millis', 'load-lag-millis']), async numbers => createPlainBackend({
		listen: args.listen,
		workMillis: numbers('work-millis'),
		loadLagMillis: numbers('load-lag-millis'),
	})),
});
