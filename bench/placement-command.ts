import {readFileSync} from 'node:fs';
import {defineCommand} from 'citty';
import {match} from 'ts-pattern';
import {z} from 'zod';
import type {PlacementError} from '../src/decisions/placement/placement-types.js';
import {BadInputError, readOptions} from './options.js';
import {comparePolicies, type SlowRank} from './placement/compare-policies.js';
import type {PolicyReport} from './placement/replay.js';
import {parseTrace} from './trace/parse-trace.js';
import type {LoadTrace} from './trace/trace-line.js';

/** Default number of steps between two full rebalances. */
const DEFAULT_INTERVAL_STEPS = 50;

const positiveInteger = z.coerce.number().int().positive();

const optionsSchema = z.object({
	trace: z.string().min(1),
	ranks: positiveInteger,
	'slots-per-rank': positiveInteger,
	favour: z.enum(['skew', 'cost']),
	interval: positiveInteger,
	'slow-rank': z.string().regex(/^\d+:\d+(?:\.\d+)?$/v, 'must be INDEX:FACTOR').optional(),
});

function readText(file: string): string {
	try {
		return readFileSync(file, 'utf8');
	} catch {
		throw new BadInputError(`${file}: line 1: field (line): the file cannot be read`);
	}
}

function readTrace(file: string): LoadTrace {
	const parsed = parseTrace(readText(file));
	if (!parsed.ok) {
		const {line, field, detail} = parsed.error;
		throw new BadInputError(`${file}: line ${line}: field ${field}: ${detail}`);
	}

	return parsed.value;
}

function readSlowRank(option: string | undefined, ranks: number): SlowRank | undefined {
	if (option === undefined) {
		return undefined;
	}

	const [rank = 0, factor = 1] = option.split(':').map(Number);
	if (rank >= ranks || factor <= 0) {
		throw new BadInputError(`option --slow-rank: ${option} must name a rank below ${ranks} and a positive factor`);
	}

	return {rank, factor};
}

function describeError(file: string, error: PlacementError): string {
	const detail = match(error)
		.with({tag: 'too_few_slots'}, ({slots, experts}) => `${slots} slots for ${experts} experts`)
		.with({tag: 'no_ranks'}, () => 'no ranks')
		.with({tag: 'bad_count'}, {tag: 'wrong_length'}, ({layer}) => `invalid token counts in layer ${layer}`)
		.exhaustive();
	return `${file}: line 1: field tokens: ${detail}`;
}

function selectFields({
	name, meanSkew, p95Skew, movedExperts, rebalances, planMillisP95,
}: PolicyReport) {
	return {
		name, meanSkew, p95Skew, movedExperts, rebalances, planMillisP95,
	};
}

/** Replays a load trace through both baselines and the placement planner. */
export const placementCommand = defineCommand({
	meta: {name: 'placement', description: 'Replays a load trace through the baselines and the placement planner'},
	args: {
		trace: {type: 'string', required: true, description: 'File of JSON lines'},
		ranks: {type: 'string', required: true},
		'slots-per-rank': {type: 'string', required: true},
		favour: {type: 'string', required: true, description: 'skew|cost'},
		interval: {type: 'string', default: String(DEFAULT_INTERVAL_STEPS), description: 'Steps between two full rebalances'},
		'slow-rank': {type: 'string', description: 'INDEX:FACTOR'},
	},
	run({args}) {
		const options = readOptions(optionsSchema, args);
		const reports = comparePolicies(readTrace(options.trace), {
			ranks: options.ranks,
			slotsPerRank: options['slots-per-rank'],
			objective: options.favour,
			intervalSteps: options.interval,
			slowRank: readSlowRank(options['slow-rank'], options.ranks),
		});
		if (!reports.ok) {
			throw new BadInputError(describeError(options.trace, reports.error));
		}

		console.log(JSON.stringify({policies: reports.value.map(report => selectFields(report))}));
	},
});
