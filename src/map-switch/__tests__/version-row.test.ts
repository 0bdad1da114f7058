import assert from 'node:assert/strict';
import {test} from 'node:test';
import {fail, succeed} from '../../core/result.js';
import {silentLog} from '../../observability/log.js';
import type {Row, TableStore} from '../../ports/table-store.js';
import {PROPOSALS_PER_BLOCK, VERSIONS_PER_PROPOSAL} from '../map-switch-constants.js';
import {createVersionSource} from '../version-row.js';

/** Table with one row, which can be unavailable. */
function createTable() {
	let row: Row | undefined;
	let isAvailable = true;
	const table: TableStore = {
		read: async () => isAvailable ? succeed(row) : fail({tag: 'unavailable', detail: 'outage'}),
		list: async () => succeed(row ? [row] : []),
		async transact({conditions, writes}) {
			if (!isAvailable) {
				return fail({tag: 'unavailable', detail: 'outage'});
			}

			if (conditions[0]?.version !== (row?.version ?? 0)) {
				return fail({tag: 'conflict', rows: row ? [row] : []});
			}

			row = {
				table: 'map_versions', key: 'g', version: (row?.version ?? 0) + 1, value: writes[0]?.value,
			};
			return succeed([row]);
		},
	};
	return {
		table,
		countWrites: () => row?.version ?? 0,
		setAvailable(next: boolean) {
			isAvailable = next;
		},
	};
}

async function takeVersions(source: ReturnType<typeof createVersionSource>, count: number): Promise<ReadonlyArray<number | undefined>> {
	const versions: Array<number | undefined> = [];
	for (let i = 0; i < count; i++) {
		// eslint-disable-next-line no-await-in-loop -- Versions are taken one after the other.
		versions.push(await source.takeVersion());
	}

	return versions;
}

void test('an outage of the store does not stop the switches of a group for some shifts of popularity', async () => {
	const {table, setAvailable, countWrites} = createTable();
	const source = createVersionSource(table, silentLog, 'g', 'a');
	const before = await takeVersions(source, 40);
	setAvailable(false);
	const during = await takeVersions(source, 8);
	setAvailable(true);
	const after = await takeVersions(source, 40);
	const versions = [...before, ...during, ...after];
	assert.ok(versions.every((version, i) => version !== undefined && version >= (versions[i - 1] ?? -Infinity) + VERSIONS_PER_PROPOSAL), 'each is higher than all before');
	assert.ok(countWrites() <= 1 + Math.ceil(versions.length / (PROPOSALS_PER_BLOCK / 2)), `${countWrites()} writes`);
});

void test('without the store, a proposer without a block gets no version', async () => {
	const {table, setAvailable} = createTable();
	setAvailable(false);
	const source = createVersionSource(table, silentLog, 'g', 'a');
	assert.equal(await source.takeVersion(), undefined);
	assert.equal(source.chooseStep(1, 10), undefined);
});

void test('a proposer and the one that replaces it never name the same version or pass, although late orders of the first are under way', async () => {
	const {table} = createTable();
	const first = createVersionSource(table, silentLog, 'g', 'a');
	const firstVersions = await takeVersions(first, 3);
	const second = createVersionSource(table, silentLog, 'g', 'b');
	const versions = [...await takeVersions(second, 20), ...await takeVersions(first, 3), ...firstVersions];
	assert.equal(new Set(versions).size, versions.length);
	const firstSteps = Array.from({length: 20}, () => first.chooseStep(1, 100));
	const secondSteps = Array.from({length: 20}, () => second.chooseStep(1, 100));
	assert.equal(new Set([...firstSteps, ...secondSteps]).size, 40);
	assert.ok([...firstSteps, ...secondSteps].every(step => step !== undefined && step >= 100));
});
