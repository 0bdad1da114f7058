import {readFile, writeFile} from 'node:fs/promises';
import {defineCommand} from 'citty';
import {parseLogLine} from '../src/explain/log-line.js';
import {drawDay} from './plot/draw-day.js';
import {summarizeDay} from './plot/summarize-day.js';

/** `npm run bench -- plot --out FILE LOG...` */
export const plotCommand = defineCommand({
	meta: {name: 'plot', description: 'Draws outcomes, waiting, skew and restarts of a day from the log lines of its processes'},
	args: {
		out: {
			type: 'string', description: 'SVG file to write', required: true, valueHint: 'FILE',
		},
		name: {type: 'string', description: 'Title', default: ''},
	},
	async run({args}) {
		if (args._.length === 0) {
			throw new Error('name the files that hold the output of the processes');
		}

		const texts = await Promise.all(args._.map(async file => readFile(file, 'utf8')));
		const lines = texts.flatMap(text => text.split('\n')).map(line => parseLogLine(line)).filter(line => line !== undefined);
		if (lines.length === 0) {
			throw new Error('no line of a process is in these files');
		}

		await writeFile(args.out, await drawDay(args.name, summarizeDay(lines)));
		console.log(JSON.stringify({out: args.out, lines: lines.length}));
	},
});
