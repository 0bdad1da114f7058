import {defineCommand} from 'citty';
import {succeed} from '../../src/core/result.js';
import {createObjectService} from '../object-service.js';
import {listenArgument} from './arguments.js';
import {runStandIn} from './run-stand-in.js';

/** Runs an object store. */
export const objectsCommand = defineCommand({
	meta: {name: 'objects', description: 'Object store'},
	args: {listen: listenArgument},
	run: async ({args}) => runStandIn(succeed({}), async () => createObjectService({listen: args.listen})),
});
