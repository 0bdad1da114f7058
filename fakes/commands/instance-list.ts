import {defineCommand} from 'citty';
import {createInstanceListService} from '../instance-list-service.js';
import {listenArgument, readNumbers} from './arguments.js';
import {runStandIn} from './run-stand-in.js';

/** Runs an instance list. */
export const instanceListCommand = defineCommand({
	meta: {name: 'instance-list', description: 'Instance list that shows changes with a lag'},
	args: {
		listen: listenArgument,
		'lag-millis': {type: 'string', default: '1000', description: 'Delay before a change becomes visible'},
	},
	run: async ({args}) => runStandIn(readNumbers(args, ['lag-millis']), async numbers => createInstanceListService({
		listen: args.listen,
		lagMillis: numbers('lag-millis'),
	})),
});
