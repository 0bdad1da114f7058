import {defineCommand} from 'citty';
import {createRankGroup} from '../rank-group.js';
import {listenArgument, readNumbers} from './arguments.js';
import {runStandIn} from './run-stand-in.js';

/** Runs the lock-step of a rank group. */
export const rankGroupCommand = defineCommand({
	meta: {name: 'rank-group', description: 'Lock-step of a rank group'},
	args: {
		listen: listenArgument,
		ranks: {type: 'string', default: '4', description: 'Ranks of the group'},
		'step-millis': {type: 'string', default: '10', description: 'Time of a step with even load'},
	},
	run: async ({args}) => runStandIn(readNumbers(args, ['ranks', 'step-millis']), async numbers => createRankGroup({
		listen: args.listen,
		ranks: numbers('ranks'),
		baseStepMillis: numbers('step-millis'),
	})),
});
