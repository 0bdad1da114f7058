import type {WorkClass} from '../../src/targets/targets.js';

/** Load under which admission is measured. */
export type AdmissionScenario = Readonly<{
	name: string;
	/** Load over the capacity of the engines at a time, in milliseconds. */
	loadFactor: (atMillis: number) => number;
	runMillis: number;
	/** Whether refused callers come back when they are told to. */
	returns: boolean;
	/** Share of the load that one account sends; the others share the rest evenly. */
	largeAccountShare: number;
}>;

const common = {service: 'model', deadlineMillis: 30_000, idempotent: true};

/** Classes of work of the experiment, each with its share of the requests. */
export const workClasses: ReadonlyArray<Readonly<{workClass: WorkClass; share: number}>> = [
	{
		share: 0.2, workClass: {
			...common, name: 'notices', lateAfterMillis: 1500, lateShare: 0.05, refusedShare: 0.02, priority: 90,
		},
	},
	{
		share: 0.4, workClass: {
			...common, name: 'diagnoses', lateAfterMillis: 3000, lateShare: 0.05, refusedShare: 0.2, priority: 50,
		},
	},
	{
		share: 0.4, workClass: {
			...common, name: 'lookups', lateAfterMillis: 1000, lateShare: 0.1, refusedShare: 0.8, priority: 10,
		},
	},
];

function createSteady(factor: number): AdmissionScenario {
	return {
		name: `steady-${factor}`, loadFactor: () => factor, runMillis: 120_000, returns: false, largeAccountShare: 0.5,
	};
}

/** Start and length of the burst, and loads outside and within it. */
const BURST = {
	fromMillis: 90_000, forMillis: 10_000, usual: 0.7, factor: 3,
};

function isInBurst(atMillis: number): boolean {
	return atMillis >= BURST.fromMillis && atMillis < BURST.fromMillis + BURST.forMillis;
}

/** The scenarios of the experiment. */
export const admissionScenarios: readonly AdmissionScenario[] = [
	...[0.5, 1, 1.5, 2, 3].map(factor => createSteady(factor)),
	{...createSteady(2), name: 'steady-2-even-accounts', largeAccountShare: 0.1},
	{
		name: 'one-account-bursts', loadFactor: atMillis => isInBurst(atMillis) ? 2 : 0.7, runMillis: 120_000, returns: false, largeAccountShare: 0.7,
	},
	{
		name: 'burst', loadFactor: atMillis => isInBurst(atMillis) ? BURST.factor : BURST.usual, runMillis: 400_000, returns: true, largeAccountShare: 0.5,
	},
	{
		name: 'lasting-2', loadFactor: () => 2, runMillis: 500_000, returns: true, largeAccountShare: 0.5,
	},
];
