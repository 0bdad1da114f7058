import {writeFileSync} from 'node:fs';
import {defineCommand} from 'citty';
import {z} from 'zod';
import {readOptions} from './options.js';
import {generateTrace} from './trace/generate-trace.js';
import {TRACE_KINDS, type TraceKind} from './trace/trace-shape.js';

const positiveInteger = z.coerce.number().int().positive();

const optionsSchema = z.object({
	kind: z.enum(TRACE_KINDS),
	seed: z.coerce.number().int().nonnegative(),
	experts: positiveInteger,
	layers: positiveInteger,
	steps: positiveInteger,
	'tokens-per-step': positiveInteger,
	exponent: z.coerce.number().nonnegative(),
	'season-steps': positiveInteger,
	out: z.string().min(1),
});

/** Writes a generated load trace as JSON lines. */
export const traceCommand = defineCommand({
	meta: {name: 'trace', description: 'Writes a generated load trace'},
	args: {
		kind: {type: 'string', default: 'zipf' satisfies TraceKind, description: TRACE_KINDS.join('|')},
		seed: {type: 'string', default: '1'},
		experts: {type: 'string', default: '64'},
		layers: {type: 'string', default: '2'},
		steps: {type: 'string', default: '1200'},
		'tokens-per-step': {type: 'string', default: '65536'},
		exponent: {type: 'string', default: '1'},
		'season-steps': {type: 'string', default: '2000'},
		out: {type: 'string', required: true, description: 'File to write'},
	},
	run({args}) {
		const {out, 'tokens-per-step': tokensPerStep, 'season-steps': seasonSteps, ...shape} = readOptions(optionsSchema, args);
		const trace = generateTrace({...shape, tokensPerStep, seasonSteps});
		writeFileSync(out, trace.lines.map(line => `${JSON.stringify(line)}\n`).join(''));
		console.log(JSON.stringify({out, lines: trace.lines.length, experts: trace.experts}));
	},
});
