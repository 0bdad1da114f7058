/** The record of a run, and its exit code. */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

/** Longest time of a run, in milliseconds. */
const MAX_RUN_MILLIS = 115_000;

/** Runs a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
export async function runCase(dir, play) {
	const startedAtMillis = Date.now();
	const lines = [];
	const isTroubled = process.env.TROUBLE !== '0';
	const record = (kind, detail = {}) => {
		lines.push({atMillis: Date.now(), text: `${kind} ${JSON.stringify(detail)}`});
	};

	const cleanUps = [];
	const finish = code => {
		const text = lines.map(({atMillis, text}) => `${((atMillis - startedAtMillis) / 1000).toFixed(3).padStart(8)} ${text}`).join('\n');
		writeFileSync(path.join(dir, 'record.txt'), `${text}\n`);
		process.stdout.write(`${lines.at(-1)?.text ?? ''}\n`);
		process.exitCode = code;
		// Sockets and timers of the stand-ins may be open.
		setTimeout(() => {
			process.exit(code); // eslint-disable-line unicorn/no-process-exit -- The exit code is the result.
		}, 100);
	};

	const cleanUp = async () => {
		for (const end of cleanUps.toReversed()) {
			// eslint-disable-next-line no-await-in-loop -- In the reverse order of the start.
			await end();
		}
	};

	for (const signal of ['SIGTERM', 'SIGINT']) {
		process.once(signal, () => {
			record('cannot run', {detail: signal});
			cleanUp().finally(() => {
				finish(2);
			});
		});
	}

	setTimeout(() => {
		record('cannot run', {detail: 'time is up'});
		cleanUp().finally(() => {
			finish(2);
		});
	}, MAX_RUN_MILLIS).unref();

	try {
		record('begin', {isTroubled});
		const verdict = await play({isTroubled, record, onEnd: end => cleanUps.push(end)});
		await cleanUp();
		record(verdict.isBroken ? 'BROKEN' : 'held', verdict);
		finish(verdict.isBroken ? 1 : 0);
	} catch (error) {
		record('cannot run', {detail: error.stack});
		await cleanUp();
		finish(2);
	}
}
