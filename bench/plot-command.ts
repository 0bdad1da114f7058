import {writeFile} from 'node:fs/promises';
import {defineCommand} from 'citty';
import {readLogs} from '../src/explain/read-logs.js';
import {drawDay} from './plot/draw-day.js';
import {summarizeDay} from './plot/summarize-day.js';

/** `npm run bench -- plot --out FILE LOG...` */
export const plotCommand = defineCommand({
	meta: {name: 'plot', description: 'Plots outcomes, waiting times, skew and restarts of a day from the log lines of its processes'},
	args: {
		out: {
			type: 'string', description: 'SVG file to write', required: true, valueHint: 'FILE',
		},
		name: {type: 'string', description: 'Title of the plot', default: ''},
	},
	async run({args}) {
		const logs = await readLogs(args._.map(String));
		if (!logs.ok) {
			throw new Error(logs.error);
		}

		const {lines} = logs.value;
		if (lines.length === 0) {
			throw new Error('the files contain no log line of a process');
		}

		await writeFile(args.out, await drawDay(args.name, summarizeDay(lines)));
		console.log(JSON.stringify({out: args.out, lines: lines.length}));
	},
});
