import {defineCommand} from 'citty';
import {z} from 'zod';
import {admissionPolicies} from './load/admission-policies.js';
import {runAdmission, type AdmissionFigures} from './load/admission-run.js';
import {admissionScenarios} from './load/admission-scenario.js';
import {measureEngineCapacity} from './load/measure-engine-capacity.js';
import {readOptions} from './options.js';

const optionsSchema = z.object({seed: z.coerce.number().int()});

/** Compares admission with its baselines on the same modelled load. */
export const admissionCommand = defineCommand({
	meta: {name: 'admission', description: 'Measures goodput, refusals and retries under admission and its baselines'},
	args: {
		seed: {type: 'string', default: '1', description: 'Random seed of the load'},
	},
	async run({args}) {
		const {seed} = readOptions(optionsSchema, args);
		const capacityPerSecond = await measureEngineCapacity(seed);
		const allFigures: AdmissionFigures[] = [];
		for (const scenario of admissionScenarios) {
			for (const policy of admissionPolicies) {
				// The runs share one processor.
				// eslint-disable-next-line no-await-in-loop
				const figures = await runAdmission(scenario, policy, capacityPerSecond, seed);
				console.log(JSON.stringify(figures));
				allFigures.push(figures);
			}
		}

		console.log(JSON.stringify({seed, capacityPerSecond, policies: allFigures}));
	},
});
