import {defineCommand} from 'citty';
import {EXIT_OK} from '../../daemon/exit-code.js';
import {readSecrets} from '../../settings/read-secrets.js';
import {readSettings} from '../../settings/read-settings.js';
import {readTargets} from '../../targets/read-targets.js';
import {describeDocumentError} from '../../toml/toml-document.js';
import {printReport, usageReport, type Report} from '../report.js';

async function checkTargets(file: string): Promise<Report> {
	const targets = await readTargets(file);
	return targets.ok
		? {lines: [`${file}: targets are good`], document: {outcome: 'good', targets: targets.value}, exitCode: EXIT_OK}
		: usageReport(describeDocumentError(targets.error));
}

async function checkSettings(file: string): Promise<Report> {
	const settings = await readSettings(file);
	if (!settings.ok) {
		return usageReport(describeDocumentError(settings.error));
	}

	const secrets = await readSecrets(settings.value);
	return secrets.ok
		? {lines: [`${file}: settings of the ${settings.value.role} role are good`], document: {outcome: 'good', settings: settings.value}, exitCode: EXIT_OK}
		: usageReport(describeDocumentError(secrets.error));
}

/** `pollenport check` */
export const checkCommand = defineCommand({
	meta: {name: 'check', description: 'Check a settings or a targets file without applying it'},
	args: {
		settings: {type: 'string', description: 'Settings file', valueHint: 'FILE'},
		targets: {type: 'string', description: 'Targets file', valueHint: 'FILE'},
		json: {type: 'boolean', description: 'Print one JSON document', default: false},
	},
	async run({args}) {
		if (args.targets !== undefined) {
			printReport(await checkTargets(args.targets), args.json);
			return;
		}

		printReport(args.settings === undefined ? usageReport('give --settings FILE or --targets FILE') : await checkSettings(args.settings), args.json);
	},
});
