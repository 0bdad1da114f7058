import {defineCommand} from 'citty';
import {z} from 'zod';
import type {PlanObjective} from '../src/decisions/placement/placement-types.js';
import {BadInputError, readOptions} from './options.js';
import {comparePolicies} from './placement/compare-policies.js';
import {judgeReports} from './placement/judge-reports.js';
import {findMean, type PolicyReport} from './placement/replay.js';
import {buildLargeCase, listSuiteCases, type SuiteCase} from './placement/suite-cases.js';
import {generateTrace} from './trace/generate-trace.js';

/** Steps of the trace of the largest group. */
const LARGE_STEPS = 60;
/** Steps at the start of a steady trace within which the decider settles. */
const SETTLING_STEPS = 150;
/** Time between two looks at a group, in milliseconds. */
const LOOK_MILLIS = 5000;

const FAVOURS: readonly PlanObjective[] = ['skew', 'cost'];

const schema = z.object({seed: z.coerce.number().int().nonnegative()});

function runCase(suiteCase: SuiteCase, favour: PlanObjective): readonly PolicyReport[] {
	const reports = comparePolicies(generateTrace(suiteCase.shape), {...suiteCase, favour});
	if (!reports.ok) {
		throw new BadInputError(`a case cannot be run: ${reports.error.tag}`);
	}

	return reports.value;
}

function describeCase({shape, ranks, slotsPerRank, interval, slowRank}: SuiteCase): string {
	const slow = slowRank ? `, rank ${slowRank.rank} at 1/${slowRank.factor}` : '';
	return `${shape.kind} seed ${shape.seed}, zipf ${shape.exponent}, ${shape.experts} experts, ${ranks}x${slotsPerRank} slots, interval ${interval}${slow}`;
}

function summariseCase(suiteCase: SuiteCase, favour: PlanObjective) {
	const reports = runCase(suiteCase, favour);
	const own = reports.at(-1);
	const isSteady = suiteCase.shape.kind === 'zipf';
	return {
		name: describeCase(suiteCase),
		set: suiteCase.set,
		favour,
		meanSkews: reports.map(({meanSkew}) => meanSkew),
		movedExperts: reports.map(({movedExperts}) => movedExperts),
		...judgeReports(reports, favour),
		...(isSteady && {movedAfterSettling: (own?.lastChangeStep ?? 0) >= SETTLING_STEPS}),
	};
}

function summariseLargeCase(seed: number) {
	const suiteCase = buildLargeCase(seed, LARGE_STEPS);
	const own = runCase(suiteCase, 'skew').at(-1);
	const planMillis = own?.planMillis ?? [];
	const settledMillis = findMean(planMillis.slice(planMillis.length / 2));
	return {
		name: describeCase(suiteCase),
		planMillisP95: own?.planMillisP95,
		planMillisMean: findMean(planMillis),
		/** Mean of the second half of the trace, after the first settling. */
		settledPlanMillisMean: settledMillis,
		meanSkew: own?.meanSkew,
		/** With one look at all layers each {@link LOOK_MILLIS}. */
		coreShare: settledMillis * suiteCase.shape.layers / LOOK_MILLIS,
	};
}

/** Replays all generated traces, tuning and held-out, under both favours. */
export const placementSuiteCommand = defineCommand({
	meta: {name: 'placement-suite', description: 'Replays all generated traces and judges the decider by its targets'},
	args: {seed: {type: 'string', default: '1'}},
	run({args}) {
		const {seed} = readOptions(schema, args);
		const cases = listSuiteCases(seed).flatMap(suiteCase => FAVOURS.map(favour => summariseCase(suiteCase, favour)));
		for (const {name, set, favour, isMet, excessToStatic, skewToFull, movedToFull} of cases) {
			const ratios = [excessToStatic, skewToFull, movedToFull].map(ratio => ratio.toFixed(3)).join(' ');
			console.log(`${isMet ? 'met ' : 'MISS'} ${set} ${favour} ${ratios} ${name}`);
		}

		console.log(JSON.stringify({
			seed,
			met: cases.filter(({isMet}) => isMet).length,
			missed: cases.filter(({isMet}) => !isMet).length,
			cases,
			large: summariseLargeCase(seed),
		}));
	},
});
