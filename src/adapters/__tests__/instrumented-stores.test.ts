import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createHastyClock} from '../../../fakes/hasty-clock.js';
import {createInMemoryInstanceList} from '../../../fakes/in-memory-instance-list.js';
import {createInMemoryObjectStore} from '../../../fakes/in-memory-object-store.js';
import {createInMemoryTableStore} from '../../../fakes/in-memory-table-store.js';
import {createMetrics} from '../../observability/metrics.js';
import {instrumentInstanceList, instrumentObjectStore, instrumentTableStore} from '../instrumented-stores.js';

test('counted stores: each failed call counts once by store and error; a conflict or an existing object is no failure', async () => {
	const clock = createHastyClock();
	const metrics = createMetrics();
	const plainTable = createInMemoryTableStore(clock);
	const plainObjects = createInMemoryObjectStore(clock);
	const plainInstances = createInMemoryInstanceList([], 0, clock);
	const table = instrumentTableStore(plainTable, metrics);
	const objects = instrumentObjectStore(plainObjects, metrics);
	const instances = instrumentInstanceList(plainInstances, metrics);

	await table.transact({conditions: [{table: 't', key: 'k', version: 1}], writes: []});
	await objects.create('k', new Uint8Array(0));
	await objects.create('k', new Uint8Array(0));
	const before = await metrics.platformErrors.get();
	assert.deepEqual(before.values, []);

	plainTable.faults.set({replyLostNext: 1});
	await table.transact({conditions: [], writes: []});
	for (const {faults} of [plainTable, plainObjects, plainInstances]) {
		faults.set({outage: true});
	}

	await Promise.all([table.read('t', 'k'), table.list('t', ''), objects.read('k'), objects.list(''), instances.list()]);
	const after = await metrics.platformErrors.get();
	assert.deepEqual(after.values.map(({value, labels}) => [labels.store, labels.error, value]), [
		['table', 'reply_lost', 1],
		['table', 'unavailable', 2],
		['object', 'unavailable', 2],
		['instance_list', 'unavailable', 1],
	]);
});
