/** Load and faults under which routing is measured. */
export type RoutingScenario = Readonly<{
	name: string;
	/** Requests per second over all entries at a given simulation time. */
	ratePerSecond: (atMillis: number) => number;
	/** Share of requests that begin with a shared prefix. */
	sharedPrefixShare: number;
	sharedPrefixCount: number;
	prefixTokens: number;
	/** Mean length of the prompt after the shared prefix. */
	suffixTokens: number;
	/** Mean length of the answer. */
	outputTokens: number;
	/** Factor on the step time of an engine, given by its index. */
	slowFactor: (engine: number) => number;
	/** Interval between two stalls, each of a randomly chosen engine; infinite for no stalls. */
	stallIntervalMillis: number;
}>;

/** Load at which the engines are about 70 % busy. */
const USUAL_RATE_PER_SECOND = 95;
/** Period and duration of the bursts, and the factor on the load within them. */
const BURST = {periodMillis: 20_000, durationMillis: 3000, factor: 2.5};
const SLOW_ENGINE_FACTOR = 2.5;

const evenLoad: RoutingScenario = {
	name: 'even-load',
	ratePerSecond: () => USUAL_RATE_PER_SECOND,
	sharedPrefixShare: 0.2,
	sharedPrefixCount: 200,
	prefixTokens: 400,
	suffixTokens: 500,
	outputTokens: 60,
	slowFactor: () => 1,
	stallIntervalMillis: Infinity,
};

/** The scenarios of the experiment. */
export const routingScenarios: readonly RoutingScenario[] = [
	evenLoad,
	{
		...evenLoad, name: 'slow-engine', ratePerSecond: () => USUAL_RATE_PER_SECOND * 0.85, slowFactor: engine => engine === 0 ? SLOW_ENGINE_FACTOR : 1,
	},
	{
		...evenLoad, name: 'shared-prefixes', ratePerSecond: () => USUAL_RATE_PER_SECOND * 0.9, sharedPrefixShare: 0.9, sharedPrefixCount: 60, prefixTokens: 800, suffixTokens: 100,
	},
	{
		...evenLoad,
		name: 'bursts',
		ratePerSecond: atMillis => USUAL_RATE_PER_SECOND * 0.6 * (atMillis % BURST.periodMillis < BURST.durationMillis ? BURST.factor : 1),
	},
	{
		...evenLoad, name: 'stalls', ratePerSecond: () => USUAL_RATE_PER_SECOND * 0.8, stallIntervalMillis: 10_000,
	},
];
