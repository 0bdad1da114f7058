import {defineCommand} from 'citty';
import {z} from 'zod';
import {routingPolicies} from './load/routing-policies.js';
import {runRouting, type RoutingFigures} from './load/routing-run.js';
import {routingScenarios} from './load/routing-scenario.js';
import {readOptions} from './options.js';

const optionsSchema = z.object({seed: z.coerce.number().int()});

/** Measures routing against its baselines on the same modelled load. */
export const routingCommand = defineCommand({
	meta: {name: 'routing', description: 'Time to first token of the router and of its baselines'},
	args: {
		seed: {type: 'string', default: '1', description: 'seed of the load'},
	},
	async run({args}) {
		const {seed} = readOptions(optionsSchema, args);
		const policies: RoutingFigures[] = [];
		for (const scenario of routingScenarios) {
			for (const policy of routingPolicies) {
				// The runs share one processor.
				// eslint-disable-next-line no-await-in-loop
				const figures = await runRouting(scenario, policy, seed);
				console.log(JSON.stringify(figures));
				policies.push(figures);
			}
		}

		console.log(JSON.stringify({seed, policies}));
	},
});
