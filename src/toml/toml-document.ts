import {readFile} from 'node:fs/promises';
import {parse, TomlError} from 'smol-toml';
import type {z} from 'zod';
import {describeError} from '../core/describe-error.js';
import {fail, succeed, type Result} from '../core/result.js';
import {camelCaseKeys, toSnakeCase} from './key-case.js';

/** A document that cannot be used: the first fault found, with its place. */
export type DocumentError = Readonly<{
	tag: 'bad_document';
	file: string;
	/** Dotted path of the field, empty when the file as a whole is at fault. */
	field: string;
	detail: string;
}>;

/** One line for the operator. */
export function describeDocumentError(err: DocumentError): string {
	const place = err.field === '' ? err.file : `${err.file}: ${err.field}`;
	return `${place}: ${err.detail}`;
}

function describePath(path: readonly PropertyKey[]): string {
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

function describeIssue(file: string, issue: z.core.$ZodIssue): DocumentError {
	const path = issue.code === 'unrecognized_keys' ? [...issue.path, issue.keys[0] ?? ''] : issue.path;
	const detail = issue.code === 'unrecognized_keys' ? 'unknown field' : issue.message;
	return {
		tag: 'bad_document', file, field: describePath(path), detail,
	};
}

/** Checks a parsed document, with keys in camel case, against `schema`. */
export function checkDocument<T>(value: unknown, schema: z.ZodType<T>, file: string): Result<T, DocumentError> {
	const parsed = schema.safeParse(value);
	if (parsed.success) {
		return succeed(parsed.data);
	}

	const [issue] = parsed.error.issues;
	return fail(issue
		? describeIssue(file, issue)
		: {
			tag: 'bad_document', file, field: '', detail: 'does not fit the schema',
		});
}

/** Parses TOML text, with keys in snake case, against `schema`. */
export function parseDocument<T>(text: string, schema: z.ZodType<T>, file: string): Result<T, DocumentError> {
	let value: unknown;
	try {
		value = parse(text);
	} catch (error) {
		if (!(error instanceof TomlError)) {
			throw error;
		}

		const detail = error.message.split('\n')[0] ?? 'not TOML';
		return fail({
			tag: 'bad_document', file, field: `line ${error.line}`, detail,
		});
	}

	return checkDocument(camelCaseKeys(value), schema, file);
}

/** Reads and parses a TOML file against `schema`. */
export async function readDocument<T>(file: string, schema: z.ZodType<T>): Promise<Result<T, DocumentError>> {
	const text = await readText(file);
	return text.ok ? parseDocument(text.value, schema, file) : text;
}

/** Reads a text file; a failure names the file. */
export async function readText(file: string): Promise<Result<string, DocumentError>> {
	try {
		return succeed(await readFile(file, 'utf8'));
	} catch (error) {
		return fail({
			tag: 'bad_document', file, field: '', detail: `cannot be read: ${describeError(error)}`,
		});
	}
}
