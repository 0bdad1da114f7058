import {defineCommand} from 'citty';
import {z} from 'zod';
import type {PlanObjective} from '../src/decisions/placement/placement-types.js';
import {BadInputError, readOptions} from './options.js';
import {comparePolicies} from './placement/compare-policies.js';
import {evaluateTargets} from './placement/evaluate-targets.js';
import {computeMean, type PolicyReport} from './placement/replay.js';
import {buildLargeCase, listSuiteCases, type SuiteCase} from './placement/suite-cases.js';
import {generateTrace} from './trace/generate-trace.js';

/** Steps of the trace of the largest group. */
const LARGE_STEPS = 60;
/** Steps at the start of a steady trace after which the planner should make no more changes. */
const SETTLING_STEPS = 150;
/** Time between two planning runs of a group. */
const PLANNING_INTERVAL_MILLIS = 5000;

const OBJECTIVES: readonly PlanObjective[] = ['skew', 'cost'];

const optionsSchema = z.object({seed: z.coerce.number().int().nonnegative()});

function runCase(suiteCase: SuiteCase, objective: PlanObjective): readonly PolicyReport[] {
	const reports = comparePolicies(generateTrace(suiteCase.shape), {...suiteCase, objective});
	if (!reports.ok) {
		throw new BadInputError(`invalid suite case: ${reports.error.tag}`);
	}

	return reports.value;
}

function describeCase({shape, ranks, slotsPerRank, intervalSteps, slowRank}: SuiteCase): string {
	const slow = slowRank ? `, rank ${slowRank.rank} at 1/${slowRank.factor}` : '';
	return `${shape.kind} seed ${shape.seed}, zipf ${shape.exponent}, ${shape.experts} experts, ${ranks}x${slotsPerRank} slots, interval ${intervalSteps}${slow}`;
}

function summarizeCase(suiteCase: SuiteCase, objective: PlanObjective) {
	const reports = runCase(suiteCase, objective);
	const pollenportReport = reports.at(-1);
	const isSteady = suiteCase.shape.kind === 'zipf';
	return {
		name: describeCase(suiteCase),
		set: suiteCase.set,
		favour: objective,
		meanSkews: reports.map(({meanSkew}) => meanSkew),
		movedExperts: reports.map(({movedExperts}) => movedExperts),
		...evaluateTargets(reports, objective),
		...(isSteady && {movedAfterSettling: (pollenportReport?.lastChangeStep ?? 0) >= SETTLING_STEPS}),
	};
}

function summarizeLargeCase(seed: number) {
	const suiteCase = buildLargeCase(seed, LARGE_STEPS);
	const pollenportReport = runCase(suiteCase, 'skew').at(-1);
	const planMillis = pollenportReport?.planMillis ?? [];
	const settledPlanMillis = computeMean(planMillis.slice(planMillis.length / 2));
	return {
		name: describeCase(suiteCase),
		planMillisP95: pollenportReport?.planMillisP95,
		planMillisMean: computeMean(planMillis),
		/** Mean over the second half of the trace, when the placement has settled. */
		settledPlanMillisMean: settledPlanMillis,
		meanSkew: pollenportReport?.meanSkew,
		/** Share of one processor core if all layers are planned once every {@link PLANNING_INTERVAL_MILLIS}. */
		coreShare: settledPlanMillis * suiteCase.shape.layers / PLANNING_INTERVAL_MILLIS,
	};
}

/** Replays all generated traces, tuning and held-out, with both objectives. */
export const placementSuiteCommand = defineCommand({
	meta: {name: 'placement-suite', description: 'Replays all generated traces and checks the placement planner against its targets'},
	args: {seed: {type: 'string', default: '1'}},
	run({args}) {
		const {seed} = readOptions(optionsSchema, args);
		const cases = listSuiteCases(seed).flatMap(suiteCase => OBJECTIVES.map(objective => summarizeCase(suiteCase, objective)));
		for (const {name, set, favour, isMet, excessToStatic, skewToFull, movedToFull} of cases) {
			const ratios = [excessToStatic, skewToFull, movedToFull].map(ratio => ratio.toFixed(3)).join(' ');
			console.log(`${isMet ? 'met ' : 'MISS'} ${set} ${favour} ${ratios} ${name}`);
		}

		console.log(JSON.stringify({
			seed,
			met: cases.filter(({isMet}) => isMet).length,
			missed: cases.filter(({isMet}) => !isMet).length,
			cases,
			large: summarizeLargeCase(seed),
		}));
	},
});
