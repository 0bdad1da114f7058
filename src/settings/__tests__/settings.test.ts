import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {test} from 'node:test';
import {z} from 'zod';
import {toSnakeCase} from '../../toml/key-case.js';
import {settingsSchema} from '../settings.js';

function listFields(schema: unknown, prefix: string): readonly string[] {
	const inner = schema instanceof z.ZodOptional || schema instanceof z.ZodDefault ? schema.unwrap() : schema;
	if (!(inner instanceof z.ZodObject)) {
		return [prefix];
	}

	return Object.entries(inner.shape).flatMap(([key, field]) => listFields(field, prefix === '' ? toSnakeCase(key) : `${prefix}.${toSnakeCase(key)}`));
}

test('the settings page documents exactly the fields of the schema', async () => {
	const page = await readFile('docs/settings.md', 'utf8');
	const documented = [...page.matchAll(/^\| `(?<field>[a-z_.]+)` \|/gmv)].map(found => found.groups?.field ?? '');
	const fields = settingsSchema.options.flatMap(option => listFields(option, ''));
	assert.deepEqual(documented.toSorted(), [...new Set(fields)].toSorted());
});
