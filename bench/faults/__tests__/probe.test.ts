import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {LoggedCall} from '../../system/call-log.js';
import type {CallWorker} from '../../system/call-worker.js';
import {createProbe} from '../probe.js';

const CALL: LoggedCall = {
	kind: 'plain', key: 'k', body: '', isBound: false, tries: [],
};

void test('a probe that is never answered reports no recovery', async () => {
	let calls = 0;
	const send = async () => {
		calls++;
		return CALL;
	};

	const worker: CallWorker = {callPlainService: send, askModel: send};
	const probe = createProbe(worker);
	assert.equal(await probe.waitUntilAnswered(), undefined);
	assert.equal(probe.calls().length, calls);
});
