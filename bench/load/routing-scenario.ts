/** Load and faults under which routing is measured. */
export type RoutingScenario = Readonly<{
	name: string;
	/** Requests a second over all entries at a time, in milliseconds. */
	ratePerSecond: (atMillis: number) => number;
	/** Share of requests that begin with a shared prefix. */
	sharedShare: number;
	sharedPrefixes: number;
	prefixTokens: number;
	/** Mean length of the rest of the prompt. */
	suffixTokens: number;
	/** Mean length of the answer. */
	outputTokens: number;
	/** Factor on the step time of an engine. */
	slowFactor: (engine: number) => number;
	/** Time between two stalls of some engine; infinite for none. */
	stallEveryMillis: number;
}>;

/** Requests a second that use about seven tenths of the engines. */
const USUAL_RATE = 95;
/** Period and length of a burst. */
const BURST = {everyMillis: 20_000, forMillis: 3000, factor: 2.5};
/** Factor on the step time of the slow engine. */
const SLOW_ENGINE_FACTOR = 2.5;

const evenLoad: RoutingScenario = {
	name: 'even-load',
	ratePerSecond: () => USUAL_RATE,
	sharedShare: 0.2,
	sharedPrefixes: 200,
	prefixTokens: 400,
	suffixTokens: 500,
	outputTokens: 60,
	slowFactor: () => 1,
	stallEveryMillis: Infinity,
};

/** The scenarios of the experiment. */
export const routingScenarios: readonly RoutingScenario[] = [
	evenLoad,
	{
		...evenLoad, name: 'slow-engine', ratePerSecond: () => USUAL_RATE * 0.85, slowFactor: engine => engine === 0 ? SLOW_ENGINE_FACTOR : 1,
	},
	{
		...evenLoad, name: 'shared-prefixes', ratePerSecond: () => USUAL_RATE * 0.9, sharedShare: 0.9, sharedPrefixes: 60, prefixTokens: 800, suffixTokens: 100,
	},
	{
		...evenLoad,
		name: 'bursts',
		ratePerSecond: atMillis => USUAL_RATE * 0.6 * (atMillis % BURST.everyMillis < BURST.forMillis ? BURST.factor : 1),
	},
	{
		...evenLoad, name: 'stalls', ratePerSecond: () => USUAL_RATE * 0.8, stallEveryMillis: 10_000,
	},
];
