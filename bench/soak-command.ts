import process from 'node:process';
import {defineCommand} from 'citty';
import {invariant} from '../src/core/invariant.js';
import {SOAK_FAULTS} from '../platform/__tests__/soak/soak-faults.js';
import {runSoak, type SoakSummary} from '../platform/__tests__/soak/run-soak.js';

const EXIT_BROKEN = 1;
const MILLIS_PER_MINUTE = 60_000;

function readCount(name: string, value: string, least: number): number {
	const read = Number(value);
	if (!Number.isSafeInteger(read) || read < least) {
		throw new Error(`--${name} must be a whole number of at least ${least}`);
	}

	return read;
}

/** `npm run soak -- --seed N --rounds M` */
export const soakCommand = defineCommand({
	meta: {name: 'soak', description: 'Plays overlapping faults against the platform\'s programs as separate processes'},
	args: {
		seed: {type: 'string', description: 'Seed of the draws', default: '1'},
		rounds: {type: 'string', description: 'Rounds of faults', default: '10'},
		minutes: {type: 'string', description: 'Go on with the next seeds for so long', default: '0'},
		gateways: {type: 'string', description: 'Gateway processes', default: '3'},
		backends: {type: 'string', description: 'Backend servers', default: '4'},
		callers: {type: 'string', description: 'Callers at a time', default: '16'},
		only: {type: 'string', description: 'Kinds of faults, separated by commas; all by default', default: ''},
	},
	async run({args}) {
		const rounds = readCount('rounds', args.rounds, 1);
		const size = {
			gateways: readCount('gateways', args.gateways, 1), backends: readCount('backends', args.backends, 2), callers: readCount('callers', args.callers, 1),
		};
		const only = args.only === '' ? [] : args.only.split(',');
		const unknown = only.find(name => !SOAK_FAULTS.some(fault => fault.name === name));
		if (unknown !== undefined) {
			throw new Error(`--only: no such kind: ${unknown}`);
		}

		const untilMillis = performance.now() + (readCount('minutes', args.minutes, 0) * MILLIS_PER_MINUTE);
		let seed = readCount('seed', args.seed, 0);
		let summary: SoakSummary | undefined;
		do {
			// eslint-disable-next-line no-await-in-loop -- One system after the other.
			summary = await runSoak({
				seed, rounds, size, only,
			}, console.log);
			console.log(JSON.stringify(summary));
			seed++;
		} while (summary.broken.length === 0 && performance.now() < untilMillis);

		invariant(summary, 'a soak was played');
		process.exitCode = summary.broken.length > 0 ? EXIT_BROKEN : 0;
	},
});
