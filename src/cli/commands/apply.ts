import os from 'node:os';
import {defineCommand} from 'citty';
import {createId} from '../../core/ids.js';
import {EXIT_OK, EXIT_REFUSED} from '../../daemon/exit-code.js';
import {describeChange, diffTargets} from '../../targets/diff-targets.js';
import {readTargets} from '../../targets/read-targets.js';
import {describeDocumentError} from '../../toml/toml-document.js';
import {accessArguments, type AccessArguments} from '../access-arguments.js';
import {readConfiguration} from '../read-configuration.js';
import {sendToEntry} from '../send-to-entry.js';
import {acceptedSchema, conflictSchema} from '../entry-answers.js';
import {
	errorReport, printReport, usageReport, type Report,
} from '../report.js';
import type {OperatorError} from '../operator-client.js';
import type {Targets} from '../../targets/targets.js';

type ApplyArguments = AccessArguments & Readonly<{file: string; expectedVersion?: string; by?: string}>;

/** The expected version from the arguments, or else the version in force. */
async function findExpectedVersion(args: ApplyArguments): Promise<number | Report> {
	if (args.expectedVersion !== undefined) {
		const version = Number(args.expectedVersion);
		return Number.isSafeInteger(version) && version >= 0 ? version : usageReport('--expected-version must be a whole number from 0');
	}

	const current = await readConfiguration(args);
	return current.ok ? current.value?.version ?? 0 : errorReport(current.error);
}

async function describeConflict(args: ApplyArguments, err: OperatorError, targets: Targets): Promise<Report> {
	const conflict = err.tag === 'refused' ? conflictSchema.safeParse(err.body) : undefined;
	if (!conflict?.success) {
		return errorReport(err);
	}

	const {expectedVersion, current} = conflict.data;
	const inForce = await readConfiguration(args);
	const changes = inForce.ok && inForce.value ? diffTargets(inForce.value.targets, targets) : [];
	return {
		lines: [
			`refused: you expected version ${expectedVersion}, but version ${current?.version ?? 0} by ${current?.changedBy ?? 'nobody'} (change ${current?.changeId ?? '-'}) is in force`,
			'Changes that your file makes to the configuration in force:',
			...changes.map(change => `  ${describeChange(change)}`),
			`Merge the other change into your file, then apply it with --expected-version ${current?.version ?? 0}.`,
		],
		document: {...conflict.data, changes},
		exitCode: EXIT_REFUSED,
	};
}

/** Finds out by the change id whether a change whose answer was lost is in force; the change is never sent again. */
async function resolveLostAnswer(args: ApplyArguments, changeId: string, err: OperatorError): Promise<Report> {
	const current = await readConfiguration(args);
	if (!current.ok || current.value?.changeId !== changeId) {
		return errorReport(err);
	}

	const {version} = current.value;
	return {
		lines: [`accepted as version ${version}; the first answer was lost`],
		document: {
			outcome: 'accepted', version, confirmed: [], missing: [],
		},
		exitCode: EXIT_OK,
	};
}

async function apply(args: ApplyArguments): Promise<Report> {
	const targets = await readTargets(args.file);
	if (!targets.ok) {
		return usageReport(describeDocumentError(targets.error));
	}

	const expectedVersion = await findExpectedVersion(args);
	if (typeof expectedVersion !== 'number') {
		return expectedVersion;
	}

	const changeId = createId();
	const body = {
		expectedVersion, changeId, changedBy: args.by ?? os.userInfo().username, targets: targets.value,
	};
	const answer = await sendToEntry(args, {method: 'PUT', path: '/v1/configuration', body}, acceptedSchema);
	if (!answer.ok) {
		return answer.error.tag === 'no_answer' ? resolveLostAnswer(args, changeId, answer.error) : describeConflict(args, answer.error, targets.value);
	}

	const {version, confirmed, missing} = answer.value;
	return {
		lines: [
			`accepted as version ${version}`,
			`in force at ${confirmed.length} instances: ${confirmed.join(', ')}`,
			...(missing.length > 0 ? [`not yet confirmed: ${missing.join(', ')}`] : []),
		],
		document: answer.value,
		exitCode: EXIT_OK,
	};
}

/** `pollenport apply` */
export const applyCommand = defineCommand({
	meta: {name: 'apply', description: 'Put a targets file into force'},
	args: {
		...accessArguments,
		file: {type: 'positional', description: 'Targets file (TOML)', required: true},
		expectedVersion: {type: 'string', description: 'Version that this change replaces (default: the one in force)', valueHint: 'N'},
		by: {type: 'string', description: 'Who makes the change (default: the user of this shell)', valueHint: 'NAME'},
	},
	async run({args}) {
		printReport(await apply(args), args.json);
	},
});
