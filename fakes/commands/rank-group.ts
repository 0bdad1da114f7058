import {defineCommand} from 'citty';
import {createRankGroup} from '../rank-group.js';
import {listenArgument, readNumbers} from './arguments.js';
import {runStandIn} from './run-stand-in.js';

/** Runs a rank group. */
export const rankGroupCommand = defineCommand({
	meta: {name: 'rank-group', description: 'Rank group that runs its ranks in lock-step'},
	args: {
		listen: listenArgument,
		ranks: {type: 'string', default: '4', description: 'Number of ranks in the group'},
		'step-millis': {type: 'string', default: '10', description: 'Duration of a step if all ranks have the same load'},
	},
	run: async ({args}) => runStandIn(readNumbers(args, ['ranks', 'step-millis']), async numbers => createRankGroup({
		listen: args.listen,
		ranks: numbers('ranks'),
		baseStepMillis: numbers('step-millis'),
	})),
});
