#!/usr/bin/env node
import {defineCommand} from 'citty';
import {runProgram} from '../core/run-program.js';
import {applyCommand} from './commands/apply.js';
import {auditCommand} from './commands/audit.js';
import {checkCommand} from './commands/check.js';
import {diffCommand} from './commands/diff.js';
import {explainCommand} from './commands/explain.js';
import {statusCommand} from './commands/status.js';
import {stopCommand} from './commands/stop.js';

const main = defineCommand({
	meta: {
		name: 'pollenport',
		description: 'Operators\' tool. Exit codes: 0 done, 1 refused or broken, 2 bad input, 3 not reachable.',
	},
	subCommands: {
		apply: applyCommand,
		diff: diffCommand,
		status: statusCommand,
		stop: stopCommand,
		audit: auditCommand,
		check: checkCommand,
		explain: explainCommand,
	},
});

await runProgram(main);
