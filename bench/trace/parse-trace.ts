import {z} from 'zod';
import {fail, succeed, type Result} from '../../src/core/result.js';
import type {LoadTrace, TraceLine} from './trace-line.js';

/** An invalid line of a trace. Line numbers start at 1. */
export type TraceError = Readonly<{line: number; field: string; detail: string}>;

/** Largest index of a layer. */
const MAX_LAYER = 9999;
/** Largest count of tokens. */
const MAX_TOKENS = 1e15;

const lineSchema = z.strictObject({
	step: z.number().int().nonnegative(),
	layer: z.number().int().nonnegative().max(MAX_LAYER),
	tokens: z.array(z.number().nonnegative().max(MAX_TOKENS)).min(1),
});

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
}

function parseLine(text: string, line: number): Result<TraceLine, TraceError> {
	const json = parseJson(text);
	if (json === undefined) {
		return fail({line, field: '(line)', detail: 'not JSON'});
	}

	const parsed = lineSchema.safeParse(json);
	if (parsed.success) {
		return succeed(parsed.data);
	}

	const issue = parsed.error.issues[0];
	const unknownKey = issue?.code === 'unrecognized_keys' ? issue.keys[0] : undefined;
	const field = issue?.path.map(String).join('.') ?? '';
	return fail({line, field: unknownKey ?? (field === '' ? '(line)' : field), detail: issue?.message ?? 'invalid'});
}

/** Checks a line against the one before it. */
function findInconsistency(previous: TraceLine | undefined, current: TraceLine, line: number): TraceError | undefined {
	if (!previous) {
		return undefined;
	}

	if (current.step < previous.step) {
		return {line, field: 'step', detail: `${current.step} after ${previous.step}; steps must not decrease`};
	}

	return current.tokens.length === previous.tokens.length
		? undefined
		: {line, field: 'tokens', detail: `${current.tokens.length} experts, but ${previous.tokens.length} on the line before`};
}

/** Parses a trace from JSON lines. Empty lines are skipped. */
export function parseTrace(text: string): Result<LoadTrace, TraceError> {
	const lines: TraceLine[] = [];
	for (const [i, lineText] of text.split('\n').entries()) {
		if (lineText.trim() === '') {
			continue;
		}

		const parsed = parseLine(lineText, i + 1);
		if (!parsed.ok) {
			return parsed;
		}

		const inconsistency = findInconsistency(lines.at(-1), parsed.value, i + 1);
		if (inconsistency) {
			return fail(inconsistency);
		}

		lines.push(parsed.value);
	}

	const first = lines[0];
	return first
		? succeed({experts: first.tokens.length, lines})
		: fail({line: 1, field: '(line)', detail: 'the trace is empty'});
}
