import process from 'node:process';
import {defineCommand} from 'citty';
import {invariant} from '../src/core/invariant.js';
import {listFaults} from '../platform/__tests__/soak/soak-faults.js';
import {SOAK_GRACE_S} from '../platform/__tests__/soak/soak-system.js';
import {runSoak, type SoakSummary} from '../platform/__tests__/soak/run-soak.js';

const EXIT_PROMISE_BROKEN = 1;
const MILLIS_PER_MINUTE = 60_000;

function readCount(name: string, value: string, min: number): number {
	const count = Number(value);
	if (!Number.isSafeInteger(count) || count < min) {
		throw new Error(`--${name} must be a whole number of at least ${min}`);
	}

	return count;
}

/** `npm run soak -- --seed N --rounds M` */
export const soakCommand = defineCommand({
	meta: {name: 'soak', description: 'Injects overlapping faults into the programs of the platform, run as separate processes'},
	args: {
		seed: {type: 'string', description: 'Random seed', default: '1'},
		rounds: {type: 'string', description: 'Rounds of faults', default: '10'},
		minutes: {type: 'string', description: 'Continue with the following seeds for this many minutes', default: '0'},
		gateways: {type: 'string', description: 'Gateway processes', default: '3'},
		backends: {type: 'string', description: 'Backend servers', default: '4'},
		callers: {type: 'string', description: 'Concurrent callers', default: '16'},
		posters: {type: 'string', description: 'Callers that post slow work, ask for large answers and keep their connections', default: '0'},
		grace: {type: 'string', description: 'Time that a gateway may take to stop, in seconds', default: String(SOAK_GRACE_S)},
		only: {type: 'string', description: 'Kinds of faults, separated by commas; by default all but stop_series', default: ''},
	},
	async run({args}) {
		const rounds = readCount('rounds', args.rounds, 1);
		const size = {
			gateways: readCount('gateways', args.gateways, 1),
			backends: readCount('backends', args.backends, 2),
			callers: readCount('callers', args.callers, 1),
			posters: readCount('posters', args.posters, 0),
			graceS: readCount('grace', args.grace, 1),
		};
		const only = args.only === '' ? [] : args.only.split(',');
		const unknown = only.find(name => !listFaults([name]).some(fault => fault.name === name));
		if (unknown !== undefined) {
			throw new Error(`--only: unknown kind of fault: ${unknown}`);
		}

		const untilMillis = performance.now() + (readCount('minutes', args.minutes, 0) * MILLIS_PER_MINUTE);
		let seed = readCount('seed', args.seed, 0);
		let summary: SoakSummary | undefined;
		do {
			// eslint-disable-next-line no-await-in-loop -- Soak runs are sequential.
			summary = await runSoak({
				seed, rounds, size, only,
			}, console.log);
			console.log(JSON.stringify(summary));
			seed++;
		} while (summary.broken.length === 0 && performance.now() < untilMillis);

		invariant(summary, 'at least one soak run has ended');
		process.exitCode = summary.broken.length > 0 ? EXIT_PROMISE_BROKEN : 0;
	},
});
