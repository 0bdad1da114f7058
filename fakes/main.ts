/** Runs one stand-in for a platform service or a backend server as a separate process. */
import {defineCommand, runMain} from 'citty';
import {engineCommand} from './commands/engine.js';
import {instanceListCommand} from './commands/instance-list.js';
import {objectsCommand} from './commands/objects.js';
import {plainCommand} from './commands/plain.js';
import {rankGroupCommand} from './commands/rank-group.js';
import {tableCommand} from './commands/table.js';
import {weightStoreCommand} from './commands/weight-store.js';

const main = defineCommand({
	meta: {name: 'fakes', description: 'Stand-ins for tests'},
	subCommands: {
		table: tableCommand,
		objects: objectsCommand,
		'instance-list': instanceListCommand,
		'weight-store': weightStoreCommand,
		'rank-group': rankGroupCommand,
		engine: engineCommand,
		plain: plainCommand,
	},
});

await runMain(main);
