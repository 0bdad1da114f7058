/** Entry point of the experiment tool: `npm run bench -- NAME ...`. Each experiment has its own command file in this directory. */
import {defineCommand} from 'citty';
import {runProgram} from '../src/core/run-program.js';
import {faultsCommand} from './faults-command.js';
import {placementSuiteCommand} from './placement-suite-command.js';
import {placementCommand} from './placement-command.js';
import {admissionCommand} from './admission-command.js';
import {capacityCommand} from './capacity-command.js';
import {callerRoutingCommand} from './caller-routing-command.js';
import {plotCommand} from './plot-command.js';
import {routingCommand} from './routing-command.js';
import {soakCommand} from './soak-command.js';
import {traceCommand} from './trace-command.js';

const main = defineCommand({
	meta: {name: 'bench', description: 'Compares placement, routing and admission with baselines; the last line of each experiment is JSON'},
	subCommands: {
		faults: faultsCommand,
		placement: placementCommand,
		admission: admissionCommand,
		capacity: capacityCommand,
		'caller-routing': callerRoutingCommand,
		routing: routingCommand,
		'placement-suite': placementSuiteCommand,
		soak: soakCommand,
		plot: plotCommand,
		trace: traceCommand,
	},
});

await runProgram(main);
