import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {test} from 'node:test';
import type {Registry} from 'prom-client';
import {createGatewayMetrics} from '../../gateway/gateway-metrics.js';
import {createMetrics} from '../metrics.js';

/** Names of the metrics in the table under `heading` in docs/metrics.md. */
async function readDocumented(heading: string): Promise<readonly string[]> {
	const page = await readFile('docs/metrics.md', 'utf8');
	const section = page.split(/^#+ /mv).find(part => part.startsWith(`${heading}\n`)) ?? '';
	return [...section.matchAll(/^\| `(?<metric>pollenport_[a-z_]+)` \|/gmv)].map(found => found.groups?.metric ?? '').toSorted();
}

function listNames(registry: Registry): readonly string[] {
	return registry.getMetricsAsArray().map(metric => metric.name).toSorted();
}

test('docs/metrics.md lists each metric of entries and agents, and no other', async () => {
	assert.deepEqual(await readDocumented('Metrics'), listNames(createMetrics().registry));
});

test('docs/metrics.md lists each metric of gateways, and no other', async () => {
	assert.deepEqual(await readDocumented('Gateways'), listNames(createGatewayMetrics().registry));
});
