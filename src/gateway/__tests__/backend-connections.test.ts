import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createLifeCycle} from '../../core/life-cycle.js';
import {systemClock} from '../../core/system-clock.js';
import {createBackendConnections} from '../backend-connections.js';

const ADDRESSES = ['10.0.0.1:99999', '10.0.0.1:0', '999.1.1.1:80', '...:80', ''];

for (const address of ADDRESSES) {
	void test(`a request to "${address}", which is no address, fails without an exception, and nothing listens there`, async () => {
		const connections = createBackendConnections({clock: systemClock, lifeCycle: createLifeCycle()});
		let wasSent = false;
		const error = await new Promise<string | undefined>(resolve => {
			connections.send(address, {
				method: 'GET', path: '/', headers: [], body: new Uint8Array(0), allowsLongIdleConnection: true, maxIdleConnections: 1,
			}, {
				onSent() {
					wasSent = true;
				},
				onHead: () => true,
				onData: () => undefined,
				onEnd: resolve,
				onLateHead: () => undefined,
			});
		});
		assert.match(error ?? '', /not an address/v);
		assert.equal(wasSent, false);
		assert.equal(await connections.isListening(address), false);
	});
}
