/* eslint-disable unicorn/no-process-exit -- This is the end of a script. */
/** Runs a case: writes its record, and ends with 0 if the rule held, 1 if it was broken, and 2 if the case could not run. */
import {appendFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

const MAX_MILLIS = 115_000;

/** Runs `play`, which resolves to the breaches that were seen. */
export async function runCase(dir, play) {
	const file = path.join(dir, 'record.txt');
	const isTroubled = process.env.TROUBLE !== '0';
	const startedAtMillis = performance.now();
	writeFileSync(file, '');
	const record = text => {
		const line = `${((performance.now() - startedAtMillis) / 1000).toFixed(3)} ${text}\n`;
		appendFileSync(file, line);
		process.stdout.write(line);
	};

	record(isTroubled ? 'with the disruption' : 'without the disruption');
	const timer = setTimeout(() => {
		record('could not run: out of time');
		process.exit(2);
	}, MAX_MILLIS);
	try {
		const breaches = await play({record, isTroubled});
		for (const breach of breaches) {
			record(`broken: ${breach}`);
		}

		record(breaches.length === 0 ? 'the rule held' : 'the rule was broken');
		process.exitCode = breaches.length === 0 ? 0 : 1;
	} catch (error) {
		record(`could not run: ${error.message}`);
		process.exitCode = 2;
	}

	clearTimeout(timer);
	process.exit();
}
