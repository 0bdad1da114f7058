import type {WorkClass} from '../../src/targets/targets.js';

/** Load pattern under which admission is measured. */
export type AdmissionScenario = Readonly<{
	name: string;
	/** Ratio of offered load to engine capacity at a given simulation time. */
	loadFactor: (atMillis: number) => number;
	runMillis: number;
	/** Whether refused callers send the request again after the retry-after time. */
	shouldRetryWhenRefused: boolean;
	/** Share of the load that one account sends; the other accounts send equal parts of the rest. */
	largeAccountShare: number;
}>;

const commonTargets = {service: 'model', deadlineMillis: 30_000, idempotent: true};

/** Work classes of the experiment, each with its share of the requests. */
export const workClasses: ReadonlyArray<Readonly<{workClass: WorkClass; share: number}>> = [
	{
		share: 0.2, workClass: {
			...commonTargets, name: 'notices', lateAfterMillis: 1500, lateShare: 0.05, refusedShare: 0.02, priority: 90,
		},
	},
	{
		share: 0.4, workClass: {
			...commonTargets, name: 'diagnoses', lateAfterMillis: 3000, lateShare: 0.05, refusedShare: 0.2, priority: 50,
		},
	},
	{
		share: 0.4, workClass: {
			...commonTargets, name: 'lookups', lateAfterMillis: 1000, lateShare: 0.1, refusedShare: 0.8, priority: 10,
		},
	},
];

function createSteadyScenario(factor: number): AdmissionScenario {
	return {
		name: `steady-${factor}`, loadFactor: () => factor, runMillis: 120_000, shouldRetryWhenRefused: false, largeAccountShare: 0.5,
	};
}

/** Start and duration of the burst, and the load factors outside and within it. */
const BURST = {
	startMillis: 90_000, durationMillis: 10_000, usualLoadFactor: 0.7, burstLoadFactor: 3,
};

function isInBurst(atMillis: number): boolean {
	return atMillis >= BURST.startMillis && atMillis < BURST.startMillis + BURST.durationMillis;
}

/** The scenarios of the experiment. */
export const admissionScenarios: readonly AdmissionScenario[] = [
	...[0.5, 1, 1.5, 2, 3].map(factor => createSteadyScenario(factor)),
	{...createSteadyScenario(2), name: 'steady-2-even-accounts', largeAccountShare: 0.1},
	{
		name: 'one-account-bursts', loadFactor: atMillis => isInBurst(atMillis) ? 2 : 0.7, runMillis: 120_000, shouldRetryWhenRefused: false, largeAccountShare: 0.7,
	},
	{
		name: 'burst', loadFactor: atMillis => isInBurst(atMillis) ? BURST.burstLoadFactor : BURST.usualLoadFactor, runMillis: 400_000, shouldRetryWhenRefused: true, largeAccountShare: 0.5,
	},
	{
		name: 'lasting-2', loadFactor: () => 2, runMillis: 500_000, shouldRetryWhenRefused: true, largeAccountShare: 0.5,
	},
];
