import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {test} from 'node:test';
import {findLineFault, lineSchemas} from '../line-schemas.js';

void test('each line that has a schema is documented in docs/logs.md', async () => {
	const page = await readFile('docs/logs.md', 'utf8');
	const missing = Object.keys(lineSchemas).filter(message => !page.includes(`\`${message}\``));
	assert.deepEqual(missing, []);
});

void test('a line with a missing value, an extra value or an unknown message is invalid', () => {
	const line = {
		request: 'a', after: 'lost', attempts: 1, maxAttempts: 2,
	};
	assert.equal(findLineFault('not repeated', line), undefined);
	assert.match(findLineFault('not repeated', {...line, attempts: undefined}) ?? '', /attempts/v);
	assert.match(findLineFault('not repeated', {...line, incarnation: 1}) ?? '', /incarnation is a value of the process/v);
	assert.match(findLineFault('not repeated', {...line, extra: 1}) ?? '', /extra/v);
	assert.match(findLineFault('never written', line) ?? '', /no such line/v);
});
