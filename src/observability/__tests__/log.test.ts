import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createProcessLog} from '../log.js';

test('a log line is one JSON document with message, level and context', () => {
	const lines: string[] = [];
	const log = createProcessLog({instanceId: 'entry-1'}, line => {
		lines.push(line);
	});
	log.child({attemptId: 'a-1'}).warn('attempt refused', {reason: 'leaving', detail: undefined});

	assert.equal(lines.length, 1);
	const line: unknown = JSON.parse(lines[0] ?? '');
	assert.equal(Reflect.get(new Object(line), 'message'), 'attempt refused');
	assert.deepEqual(Reflect.get(new Object(line), 'context'), {
		instanceId: 'entry-1', attemptId: 'a-1', reason: 'leaving', logLevel: 40,
	});
});
