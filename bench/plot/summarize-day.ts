/** Time series of a day, computed from the log lines of its processes. */
import {sum} from '../../src/decisions/sum.js';
import type {LogLine} from '../../src/explain/log-line.js';

/** A value of the series `kind` at one second. */
export type Point = Readonly<{second: number; kind: string; value: number}>;

/** The time series that are plotted for a day. */
export type DaySummary = Readonly<{
	/** Calls that ended in each second, by outcome; refusals count as `refused`. */
	outcomes: readonly Point[];
	/** Mean time that calls waited for a permit, and mean time to their first byte, in milliseconds. */
	waits: readonly Point[];
	/** Skew of expert maps before and after each change. */
	skews: readonly Point[];
	/** Processes that started or received a stop signal in each second. */
	processes: readonly Point[];
}>;

const MILLIS_PER_SECOND = 1000;

function groupByTime(samples: readonly Point[]): ReadonlyMap<string, readonly Point[]> {
	const groups = new Map<string, Point[]>();
	for (const sample of samples) {
		const key = `${sample.second} ${sample.kind}`;
		groups.set(key, [...groups.get(key) ?? [], sample]);
	}

	return groups;
}

function reduceSamples(samples: readonly Point[], reduce: (values: readonly number[]) => number): readonly Point[] {
	return [...groupByTime(samples).values()].flatMap(group => {
		const [first] = group;
		return first ? [{second: first.second, kind: first.kind, value: reduce(group.map(({value}) => value))}] : [];
	});
}

const mean = (values: readonly number[]) => sum(values) / Math.max(1, values.length);

/** Summarizes a day; seconds count from its earliest line. */
export function summarizeDay(lines: readonly LogLine[]): DaySummary {
	const startMillis = Math.min(...lines.map(({timeMillis}) => timeMillis));
	const toSecond = ({timeMillis}: LogLine) => Math.floor((timeMillis - startMillis) / MILLIS_PER_SECOND);
	const collectPoints = (message: string, readValues: (line: LogLine) => ReadonlyArray<readonly [kind: string, value: unknown]>) => lines
		.filter(line => line.message === message)
		.flatMap(line => readValues(line).flatMap(([kind, value]) => typeof value === 'number' ? [{second: toSecond(line), kind, value}] : []));
	const calls = collectPoints('call', ({values}) => [[String(values.outcome), 1], ['left out of the log', values.leftOut]]);
	const refusals = collectPoints('refused', () => [['refused', 1]]);
	return {
		outcomes: reduceSamples([...calls, ...refusals], sum),
		waits: reduceSamples(collectPoints('call', ({values}) => [['for a place', values.waitedMillis], ['to the first byte', values.firstByteMillis]]), mean),
		skews: reduceSamples(collectPoints('map switch', ({values}) => [['before', values.skewBefore], ['after', values.skewAfter]]), mean),
		processes: reduceSamples([...collectPoints('started', () => [['started', 1]]), ...collectPoints('stop signal', () => [['stop signal', 1]])], sum),
	};
}
