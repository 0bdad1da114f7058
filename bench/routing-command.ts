import {defineCommand} from 'citty';
import {z} from 'zod';
import {routingPolicies} from './load/routing-policies.js';
import {runRouting, type RoutingFigures} from './load/routing-run.js';
import {routingScenarios} from './load/routing-scenario.js';
import {readOptions} from './options.js';

const optionsSchema = z.object({seed: z.coerce.number().int()});

/** Compares routing with its baselines on the same modelled load. */
export const routingCommand = defineCommand({
	meta: {name: 'routing', description: 'Measures the time to first token of the router and its baselines'},
	args: {
		seed: {type: 'string', default: '1', description: 'Random seed of the load'},
	},
	async run({args}) {
		const {seed} = readOptions(optionsSchema, args);
		const allFigures: RoutingFigures[] = [];
		for (const scenario of routingScenarios) {
			for (const policy of routingPolicies) {
				// The runs share one processor.
				// eslint-disable-next-line no-await-in-loop
				const figures = await runRouting(scenario, policy, seed);
				console.log(JSON.stringify(figures));
				allFigures.push(figures);
			}
		}

		console.log(JSON.stringify({seed, policies: allFigures}));
	},
});
