import {defineCommand} from 'citty';
import {succeed} from '../../src/core/result.js';
import {createTableService} from '../table-service.js';
import {listenArgument} from './arguments.js';
import {runStandIn} from './run-stand-in.js';

/** Runs a table service. */
export const tableCommand = defineCommand({
	meta: {name: 'table', description: 'Transactional table service'},
	args: {listen: listenArgument},
	run: async ({args}) => runStandIn(succeed({}), async () => createTableService({listen: args.listen})),
});
