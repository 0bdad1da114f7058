import {readFile} from 'node:fs/promises';
import {parse, TomlError} from 'smol-toml';
import type {z} from 'zod';
import {describeError} from '../core/describe-error.js';
import {fail, succeed, type Result} from '../core/result.js';
import {camelCaseKeys, toSnakeCase} from './key-case.js';

/** The first error found in a document, with its location. */
export type DocumentError = Readonly<{
	tag: 'bad_document';
	file: string;
	/** Dotted path of the field, or the line of a syntax error; empty when the error concerns the whole file. */
	field: string;
	detail: string;
}>;

/** Formats an error as one line for the operator. */
export function describeDocumentError(err: DocumentError): string {
	const location = err.field === '' ? err.file : `${err.file}: ${err.field}`;
	return `${location}: ${err.detail}`;
}

function formatPath(path: readonly PropertyKey[]): string {
	let text = '';
	for (const part of path) {
		if (typeof part === 'number') {
			text += `[${part}]`;
			continue;
		}

		text += `${text === '' ? '' : '.'}${toSnakeCase(String(part))}`;
	}

	return text;
}

function createDocumentError(file: string, issue: z.core.$ZodIssue): DocumentError {
	const path = issue.code === 'unrecognized_keys' ? [...issue.path, issue.keys[0] ?? ''] : issue.path;
	const detail = issue.code === 'unrecognized_keys' ? 'unknown field' : issue.message;
	return {
		tag: 'bad_document', file, field: formatPath(path), detail,
	};
}

/** Validates a parsed document, whose keys are in camel case, against `schema`. */
export function checkDocument<T>(value: unknown, schema: z.ZodType<T>, file: string): Result<T, DocumentError> {
	const parsed = schema.safeParse(value);
	if (parsed.success) {
		return succeed(parsed.data);
	}

	const [issue] = parsed.error.issues;
	return fail(issue
		? createDocumentError(file, issue)
		: {
			tag: 'bad_document', file, field: '', detail: 'does not match the schema',
		});
}

/** Parses TOML text, whose keys are in snake case, and validates it against `schema`. */
export function parseDocument<T>(text: string, schema: z.ZodType<T>, file: string): Result<T, DocumentError> {
	let value: unknown;
	try {
		value = parse(text);
	} catch (error) {
		if (!(error instanceof TomlError)) {
			throw error;
		}

		const detail = error.message.split('\n')[0] ?? 'invalid TOML';
		return fail({
			tag: 'bad_document', file, field: `line ${error.line}`, detail,
		});
	}

	return checkDocument(camelCaseKeys(value), schema, file);
}

/** Reads a TOML file and validates it against `schema`. */
export async function readDocument<T>(file: string, schema: z.ZodType<T>): Promise<Result<T, DocumentError>> {
	const text = await readText(file);
	return text.ok ? parseDocument(text.value, schema, file) : text;
}

/** Reads a text file; an error names the file. */
export async function readText(file: string): Promise<Result<string, DocumentError>> {
	try {
		return succeed(await readFile(file, 'utf8'));
	} catch (error) {
		return fail({
			tag: 'bad_document', file, field: '', detail: `cannot be read: ${describeError(error)}`,
		});
	}
}
