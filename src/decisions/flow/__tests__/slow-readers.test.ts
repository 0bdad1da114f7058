import assert from 'node:assert/strict';
import {test} from 'node:test';
import {chooseReadersToGiveUp, type Reader} from '../slow-readers.js';

const LIMITS = {maxBytes: 1000, maxStallMillis: 10_000};

function choose(...readers: ReadonlyArray<readonly [bufferedBytes: number, stalledMillis: number]>): readonly string[] {
	const list = readers.map(([bufferedBytes, stalledMillis], id): Reader => ({id, bufferedBytes, stalledMillis}));
	return chooseReadersToGiveUp(list, LIMITS).map(({reader, cause}) => `${reader.id} ${cause}`);
}

void test('nobody is given up within the bound, however slowly it reads', () => {
	assert.deepEqual(choose([400, 9999], [300, 0], [300, 5000]), []);
});

void test('a caller that reads nothing for the longest stall is given up in any case, and one that has nothing to read is not', () => {
	assert.deepEqual(choose([1, 10_000], [0, 60_000]), ['0 stalled']);
	assert.deepEqual(choose([900, 10_000], [900, 0]), ['0 stalled'], 'what stalled ones buffer is free for the others');
});

/** Guards against giving up callers that read, or more callers than needed, when many others have stopped. */
void test('beyond the bound, the answers that occupy the most for the longest time go first, and no more than needed', () => {
	assert.deepEqual(choose([600, 2000], [600, 1000]), ['0 memory']);
	assert.deepEqual(choose([500, 1000], [700, 1000]), ['1 memory']);
	assert.deepEqual(choose([900, 0], [200, 100], [200, 100], [200, 3000]), ['3 memory', '1 memory', '2 memory']);
	assert.deepEqual(choose([900, 0], [900, 0]), ['0 memory'], 'the bound holds also if all have just read');
	assert.deepEqual(choose(...Array.from({length: 50}, (): [number, number] => [100, 500]), [100, 0]).length, 41);
});
