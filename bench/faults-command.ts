import process from 'node:process';
import {defineCommand} from 'citty';
import {runFaults} from './faults/run-faults.js';

const EXIT_PROMISE_BROKEN = 1;

/** `npm run bench -- faults` */
export const faultsCommand = defineCommand({
	meta: {name: 'faults', description: 'Injects random faults into the whole request path and checks every guarantee'},
	args: {
		seed: {type: 'string', description: 'Random seed', default: '1'},
		rounds: {type: 'string', description: 'Number of rounds', default: '10'},
	},
	async run({args}) {
		const seed = Number(args.seed);
		const rounds = Number(args.rounds);
		if (!Number.isSafeInteger(seed) || !Number.isSafeInteger(rounds) || rounds < 1) {
			throw new Error('--seed and --rounds must be whole numbers, --rounds at least 1');
		}

		const summary = await runFaults(seed, rounds, console.log);
		console.log(JSON.stringify(summary));
		process.exitCode = summary.broken.length > 0 ? EXIT_PROMISE_BROKEN : 0;
	},
});
