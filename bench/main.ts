/** Entry point of the experiment tool: `npm run bench -- NAME ...`. One file per experiment beside this one. */
import process from 'node:process';
import {defineCommand, runCommand, runMain} from 'citty';
import {faultsCommand} from './faults-command.js';
import {placementSuiteCommand} from './placement-suite-command.js';
import {placementCommand} from './placement-command.js';
import {admissionCommand} from './admission-command.js';
import {capacityCommand} from './capacity-command.js';
import {callerRoutingCommand} from './caller-routing-command.js';
import {routingCommand} from './routing-command.js';
import {traceCommand} from './trace-command.js';

/** Exit code for bad input. */
const EXIT_BAD_INPUT = 2;

const main = defineCommand({
	meta: {name: 'bench', description: 'Measures the deciders against baselines; the last line of each experiment is JSON'},
	subCommands: {
		faults: faultsCommand,
		placement: placementCommand,
		admission: admissionCommand,
		capacity: capacityCommand,
		'caller-routing': callerRoutingCommand,
		routing: routingCommand,
		'placement-suite': placementSuiteCommand,
		trace: traceCommand,
	},
});

const rawArguments = process.argv.slice(2);

try {
	await (rawArguments.includes('--help') ? runMain : runCommand)(main, {rawArgs: rawArguments});
} catch (error) {
	console.error(error instanceof Error ? error.message : String(error));
	process.exitCode = EXIT_BAD_INPUT;
}
