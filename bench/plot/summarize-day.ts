/** Figures of a day over time, from the log lines of its processes. */
import {sum} from '../../src/decisions/sum.js';
import type {LogLine} from '../../src/explain/log-line.js';

/** A value of one kind at one time. */
export type Point = Readonly<{second: number; kind: string; value: number}>;

/** What is drawn of a day. */
export type DaySummary = Readonly<{
	/** Calls that ended in each second, by outcome; refusals by `refused`. */
	outcomes: readonly Point[];
	/** Mean time that calls waited for a place, and to their first byte, in milliseconds. */
	waits: readonly Point[];
	/** Skew of expert maps before and after each change. */
	skews: readonly Point[];
	/** Processes that started or were told to stop in each second. */
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

/** Summarizes a day; seconds count from its first line. */
export function summarizeDay(lines: readonly LogLine[]): DaySummary {
	const startMillis = Math.min(...lines.map(({timeMillis}) => timeMillis));
	const at = ({timeMillis}: LogLine) => Math.floor((timeMillis - startMillis) / MILLIS_PER_SECOND);
	const collect = (message: string, read: (line: LogLine) => ReadonlyArray<readonly [kind: string, value: unknown]>) => lines
		.filter(line => line.message === message)
		.flatMap(line => read(line).flatMap(([kind, value]) => typeof value === 'number' ? [{second: at(line), kind, value}] : []));
	const calls = collect('call', ({values}) => [[String(values.outcome), 1], ['left out of the log', values.leftOut]]);
	const refusals = collect('refused', () => [['refused', 1]]);
	return {
		outcomes: reduceSamples([...calls, ...refusals], sum),
		waits: reduceSamples(collect('call', ({values}) => [['for a place', values.waitedMillis], ['to the first byte', values.firstByteMillis]]), mean),
		skews: reduceSamples(collect('map switch', ({values}) => [['before', values.skewBefore], ['after', values.skewAfter]]), mean),
		processes: reduceSamples([...collect('started', () => [['started', 1]]), ...collect('stop signal', () => [['stop signal', 1]])], sum),
	};
}
