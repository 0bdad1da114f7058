import process from 'node:process';
import {defineCommand} from 'citty';
import {measureDecisions} from './load/capacity-decisions.js';
import {measureLinks} from './load/capacity-link.js';
import {measureWire} from './load/capacity-wire.js';

const BYTES_PER_MEGABYTE = 1_048_576;

/** Measures the resource usage of a process for several numbers of peers, accounts, engines, changes and ranks. */
export const capacityCommand = defineCommand({
	meta: {name: 'capacity', description: 'Measures bytes, messages, processor time and memory at several sizes'},
	async run() {
		const rssMegabytes = Math.round(process.memoryUsage().rss / BYTES_PER_MEGABYTE);
		const figures = [
			{
				name: 'resident memory at start', per: 'processes', size: 1, value: rssMegabytes, unit: 'megabytes',
			},
			...measureDecisions(),
			...await measureLinks(8),
			...await measureLinks(72),
			...measureWire(),
		];
		for (const figure of figures) {
			console.log(JSON.stringify(figure));
		}

		console.log(JSON.stringify({policies: figures}));
	},
});
