import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {test} from 'node:test';
import {describeDocumentError} from '../../toml/toml-document.js';
import {describeChange, diffTargets} from '../diff-targets.js';
import {parseTargets, readTargets} from '../read-targets.js';

const examples = ['examples/ppa-desk.toml', 'examples/workshops.toml'];

for (const file of examples) {
	test(`${file} is valid`, async () => {
		const targets = await readTargets(file);
		assert.ok(targets.ok, targets.ok ? '' : describeDocumentError(targets.error));
	});
}

const faults = [
	{
		name: 'an unknown field', from: 'priority = 70', to: 'priority = 70\nweight = 3', expected: 't.toml: classes[0].weight: unknown field',
	},
	{
		name: 'a field in camel case', from: 'priority = 70', to: 'priority = 70\nlateShare = 1', expected: /late_share/v,
	},
	{
		name: 'a wrong type', from: 'late_after_millis = 540', to: 'late_after_millis = "soon"', expected: /^t\.toml: classes\[0\]\.late_after_millis: /v,
	},
	{
		name: 'a missing field', from: 'deadline_millis = 30000\n', to: '', expected: /^t\.toml: classes\[0\]\.deadline_millis: /v,
	},
	{
		name: 'an unknown service', from: 'service = "bookings"', to: 'service = "booking"', expected: 't.toml: classes[2].service: no service is named "booking"',
	},
	{
		name: 'a name used twice', from: 'name = "availability"', to: 'name = "booking"', expected: 't.toml: classes[3].name: "booking" is used twice',
	},
	{
		name: 'a group of a plain service', from: 'service = "diagnosis"\nfavour', to: 'service = "bookings"\nfavour', expected: /^t\.toml: groups\[0\]\.service: /v,
	},
	{
		name: 'text that is not TOML', from: '[[services]]', to: '[[services', expected: /^t\.toml: line 3: /v,
	},
] as const;

for (const {name, from, to, expected} of faults) {
	test(`targets with ${name} are rejected with file and field`, async () => {
		const text = await readFile('examples/workshops.toml', 'utf8');
		const parsed = parseTargets(text.replace(from, to), 't.toml');
		assert.ok(!parsed.ok);
		const line = describeDocumentError(parsed.error);
		if (typeof expected === 'string') {
			assert.equal(line, expected);
		} else {
			assert.match(line, expected);
		}
	});
}

test('a difference names class and field', async () => {
	const text = await readFile('examples/workshops.toml', 'utf8');
	const before = parseTargets(text, 't.toml');
	const after = parseTargets(text.replace('late_after_millis = 540', 'late_after_millis = 500'), 't.toml');
	assert.ok(before.ok && after.ok);
	assert.deepEqual(diffTargets(before.value, after.value).map(change => describeChange(change)), ['~ classes.diagnosis.late_after_millis: 540 -> 500']);
});
