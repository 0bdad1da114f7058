import {defineCommand} from 'citty';
import {z} from 'zod';
import {EXIT_OK} from '../../daemon/exit-code.js';
import {accessArguments, type AccessArguments} from '../access-arguments.js';
import {sendToEntry} from '../send-to-entry.js';
import {errorReport, printReport, type Report} from '../report.js';

/** Answer to a status request: the state of the system as one entry sees it. */
const statusSchema = z.object({
	version: z.number(),
	changeId: z.string(),
	failureDomains: z.array(z.object({
		failureDomain: z.string(),
		instances: z.array(z.object({
			instanceId: z.string(),
			role: z.string(),
			version: z.number(),
			leaving: z.boolean(),
			linked: z.boolean(),
		})),
	})),
	classes: z.array(z.object({
		name: z.string(),
		requests: z.number(),
		lateShare: z.number(),
		lateShareTarget: z.number(),
		refusedShare: z.number(),
		refusedShareTarget: z.number(),
	})),
	groups: z.array(z.object({
		name: z.string(),
		favour: z.string(),
		skew: z.number().nullable(),
		movedExperts: z.number(),
	})),
});

type StatusDocument = z.infer<typeof statusSchema>;

/** Digits after the decimal point of a share or a skew. */
const FRACTION_DIGITS = 4;

function describeInstance(instance: StatusDocument['failureDomains'][number]['instances'][number]): string {
	const link = instance.linked ? 'linked' : 'no link';
	return `  ${instance.instanceId}  ${instance.role}  version ${instance.version}  ${link}${instance.leaving ? '  leaving' : ''}`;
}

function describeClass(item: StatusDocument['classes'][number]): string {
	const late = `late ${item.lateShare.toFixed(FRACTION_DIGITS)} (target ${item.lateShareTarget})`;
	const refused = `refused ${item.refusedShare.toFixed(FRACTION_DIGITS)} (target ${item.refusedShareTarget})`;
	return `class ${item.name}: ${item.requests} requests, ${late}, ${refused}`;
}

function describeGroup(item: StatusDocument['groups'][number]): string {
	const skew = item.skew?.toFixed(FRACTION_DIGITS) ?? 'unknown';
	return `group ${item.name}: favour ${item.favour}, step skew ${skew}, ${item.movedExperts} experts moved`;
}

function describeStatus(status: StatusDocument): readonly string[] {
	return [
		`version ${status.version} in force (change ${status.changeId})`,
		...status.failureDomains.flatMap(({failureDomain, instances}) => [
			`failure domain ${failureDomain}`,
			...instances.map(instance => describeInstance(instance)),
		]),
		...status.classes.map(item => describeClass(item)),
		...status.groups.map(item => describeGroup(item)),
	];
}

async function readStatus(args: AccessArguments): Promise<Report> {
	const answer = await sendToEntry(args, {method: 'GET', path: '/v1/status'}, statusSchema);
	return answer.ok ? {lines: describeStatus(answer.value), document: answer.value, exitCode: EXIT_OK} : errorReport(answer.error);
}

/** `pollenport status` */
export const statusCommand = defineCommand({
	meta: {name: 'status', description: 'Show instances by failure domain, classes against their targets, and groups with skew and moves'},
	args: accessArguments,
	async run({args}) {
		printReport(await readStatus(args), args.json);
	},
});
