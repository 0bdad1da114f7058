#!/usr/bin/env node
import process from 'node:process';
import {defineCommand} from 'citty';
import {InvariantError} from '../core/invariant.js';
import {runProgram} from '../core/run-program.js';
import {readSecrets} from '../settings/read-secrets.js';
import {readSettings} from '../settings/read-settings.js';
import {describeDocumentError, type DocumentError} from '../toml/toml-document.js';
import {EXIT_INVARIANT, EXIT_USAGE} from './exit-code.js';
import {runDaemon} from './run-daemon.js';

function reportDocumentError(err: DocumentError): void {
	process.stderr.write(`${describeDocumentError(err)}\n`);
	process.exitCode = EXIT_USAGE;
}

const main = defineCommand({
	meta: {name: 'pollenportd', description: 'Entry or agent of pollenport, as its settings file says'},
	args: {
		settings: {
			type: 'string', description: 'Settings file (TOML)', required: true, valueHint: 'FILE',
		},
	},
	async run({args}) {
		const settings = await readSettings(args.settings);
		if (!settings.ok) {
			reportDocumentError(settings.error);
			return;
		}

		const secrets = await readSecrets(settings.value);
		if (!secrets.ok) {
			reportDocumentError(secrets.error);
			return;
		}

		// All resources are released by now; exits explicitly, because a handle left open by a library would keep the process running.
		process.exit(await runDaemon(settings.value, secrets.value));
	},
});

process.on('uncaughtException', err => {
	const kind = err instanceof InvariantError ? 'broken invariant' : 'uncaught exception';
	process.stderr.write(`${JSON.stringify({message: kind, detail: err.stack ?? err.message})}\n`);
	process.exit(EXIT_INVARIANT);
});

await runProgram(main);
