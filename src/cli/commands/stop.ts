import os from 'node:os';
import {defineCommand} from 'citty';
import {z} from 'zod';
import {EXIT_OK} from '../../daemon/exit-code.js';
import {accessArguments, type AccessArguments} from '../access-arguments.js';
import {sendToEntry} from '../send-to-entry.js';
import {stopsSchema} from '../entry-answers.js';
import {
	errorReport, printReport, usageReport, type Report,
} from '../report.js';

const plannedSchema = z.looseObject({id: z.string()});

async function plan(args: AccessArguments & Readonly<{instance?: string; failureDomain?: string; by?: string}>): Promise<Report> {
	const subject = args.instance ?? args.failureDomain;
	if (subject === undefined || (args.instance !== undefined && args.failureDomain !== undefined)) {
		return usageReport('give either --instance ID or --failure-domain NAME');
	}

	const body = {
		scope: args.instance === undefined ? 'failure_domain' : 'instance', subject, changedBy: args.by ?? os.userInfo().username,
	};
	const answer = await sendToEntry(args, {method: 'POST', path: '/v1/stops', body}, plannedSchema);
	return answer.ok
		? {lines: [`planned stop ${answer.value.id} of ${subject}`, 'Check what it waits for with "pollenport stop list".'], document: answer.value, exitCode: EXIT_OK}
		: errorReport(answer.error);
}

async function cancel(args: AccessArguments & Readonly<{id: string}>): Promise<Report> {
	const answer = await sendToEntry(args, {method: 'DELETE', path: `/v1/stops/${encodeURIComponent(args.id)}`}, z.unknown());
	return answer.ok ? {lines: [`planned stop ${args.id} is cancelled`], document: answer.value, exitCode: EXIT_OK} : errorReport(answer.error);
}

async function list(args: AccessArguments): Promise<Report> {
	const answer = await sendToEntry(args, {method: 'GET', path: '/v1/stops'}, stopsSchema);
	if (!answer.ok) {
		return errorReport(answer.error);
	}

	const lines = answer.value.stops.map(stop => {
		const blockers = stop.waitsFor.map(({instanceId, inFlight}) => `${instanceId} (${inFlight} in flight)`).join(', ');
		return `${stop.id}  ${stop.scope} ${stop.subject}  since ${stop.announcedAt}  waits for: ${blockers === '' ? 'nothing' : blockers}`;
	});
	return {lines: lines.length === 0 ? ['no planned stops'] : lines, document: answer.value, exitCode: EXIT_OK};
}

const planCommand = defineCommand({
	meta: {name: 'plan', description: 'Announce a stop of an instance or of a failure domain'},
	args: {
		...accessArguments,
		instance: {type: 'string', description: 'Instance to stop', valueHint: 'ID'},
		failureDomain: {type: 'string', description: 'Failure domain to stop', valueHint: 'NAME'},
		by: {type: 'string', description: 'Who announces it (default: the user of this shell)', valueHint: 'NAME'},
	},
	async run({args}) {
		printReport(await plan(args), args.json);
	},
});

const cancelCommand = defineCommand({
	meta: {name: 'cancel', description: 'Cancel a planned stop'},
	args: {...accessArguments, id: {type: 'positional', description: 'Id of the planned stop', required: true}},
	async run({args}) {
		printReport(await cancel(args), args.json);
	},
});

const listCommand = defineCommand({
	meta: {name: 'list', description: 'List planned stops and what they still wait for'},
	args: accessArguments,
	async run({args}) {
		printReport(await list(args), args.json);
	},
});

/** `pollenport stop` */
export const stopCommand = defineCommand({
	meta: {name: 'stop', description: 'Announce, cancel and list planned stops'},
	subCommands: {plan: planCommand, cancel: cancelCommand, list: listCommand},
});
