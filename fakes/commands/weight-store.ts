import {defineCommand} from 'citty';
import {createWeightStore} from '../weight-store.js';
import {listenArgument, readNumbers} from './arguments.js';
import {runStandIn} from './run-stand-in.js';

/** Runs a weight store. */
export const weightStoreCommand = defineCommand({
	meta: {name: 'weight-store', description: 'Rate-limited weight store'},
	args: {
		listen: listenArgument,
		'rate-per-second': {type: 'string', default: '20', description: 'Expert copies served per second'},
	},
	run: async ({args}) => runStandIn(readNumbers(args, ['rate-per-second']), async numbers => createWeightStore({
		listen: args.listen,
		ratePerSecond: numbers('rate-per-second'),
	})),
});
