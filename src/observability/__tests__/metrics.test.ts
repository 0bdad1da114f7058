import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {test} from 'node:test';
import {createMetrics} from '../metrics.js';

test('the page about metrics names each metric and no other', async () => {
	const page = await readFile('docs/metrics.md', 'utf8');
	const documented = [...page.matchAll(/^\| `(?<metric>pollenport_[a-z_]+)` \|/gmv)].map(found => found.groups?.metric ?? '');
	const names = createMetrics().registry.getMetricsAsArray().map(metric => metric.name);
	assert.deepEqual(documented.toSorted(), names.toSorted());
});
