import {defineCommand} from 'citty';
import {EXIT_OK, EXIT_REFUSED} from '../../daemon/exit-code.js';
import {describeChange, diffTargets} from '../../targets/diff-targets.js';
import {readTargets} from '../../targets/read-targets.js';
import {describeDocumentError} from '../../toml/toml-document.js';
import {accessArguments, type AccessArguments} from '../access-arguments.js';
import {readConfiguration} from '../read-configuration.js';
import {
	errorReport, printReport, usageReport, type Report,
} from '../report.js';
import type {Targets} from '../../targets/targets.js';

const NO_TARGETS: Targets = {
	services: [], classes: [], groups: [], accounts: [],
};

async function diff(args: AccessArguments & Readonly<{file: string}>): Promise<Report> {
	const targets = await readTargets(args.file);
	if (!targets.ok) {
		return usageReport(describeDocumentError(targets.error));
	}

	const current = await readConfiguration(args);
	if (!current.ok) {
		return errorReport(current.error);
	}

	const changes = diffTargets(current.value?.targets ?? NO_TARGETS, targets.value);
	const version = current.value?.version ?? 0;
	return {
		lines: changes.length === 0 ? [`no difference to version ${version}`] : changes.map(change => describeChange(change)),
		document: {version, changes},
		exitCode: changes.length === 0 ? EXIT_OK : EXIT_REFUSED,
	};
}

/** `pollenport diff` */
export const diffCommand = defineCommand({
	meta: {name: 'diff', description: 'Show what a targets file would change; exit code 1 when it would'},
	args: {...accessArguments, file: {type: 'positional', description: 'Targets file (TOML)', required: true}},
	async run({args}) {
		printReport(await diff(args), args.json);
	},
});
