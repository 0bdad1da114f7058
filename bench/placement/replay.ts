import {performance} from 'node:perf_hooks';
import {EMPTY_SLOT} from '../../src/decisions/placement/initial-map.js';
import {measureRankTokens, measureSkew} from '../../src/decisions/placement/layer-skew.js';
import type {ExpertMap, LayerMap} from '../../src/ports/model-engine.js';
import type {LoadTrace} from '../trace/trace-line.js';
import type {PlacementPolicy} from './placement-policy.js';

/** How a policy did on a trace. Skew is one value a step and layer. */
export type PolicyReport = Readonly<{
	name: string;
	meanSkew: number;
	p95Skew: number;
	/** Copies loaded into a slot that did not hold them. */
	movedExperts: number;
	/** Steps after which at least one layer changed. */
	rebalances: number;
	planMillisP95: number;
	/** Time of each plan, in the order of the trace. */
	planMillis: readonly number[];
	/** Last step after which a layer changed; -1 when none did. */
	lastChangeStep: number;
}>;

/** Share of the values that lies at or below the reported percentile. */
const REPORTED_SHARE = 0.95;

function findPercentile(values: readonly number[]): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.ceil(sorted.length * REPORTED_SHARE) - 1] ?? 0;
}

/** Mean of `values`; 0 when there are none. */
export function findMean(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return values.length > 0 ? sum / values.length : 0;
}

/** Number of slots that get a copy which they did not hold. */
export function countMoved(before: LayerMap, after: LayerMap): number {
	return after.slots.filter((expert, slot) => expert !== EMPTY_SLOT && expert !== before.slots[slot]).length;
}

/** Runs a trace through a policy, from `initialMap`. */
export function replay(trace: LoadTrace, initialMap: ExpertMap, slowFactors: readonly number[], policy: PlacementPolicy): PolicyReport {
	const maps = [...initialMap.layers];
	const skews: number[] = [];
	const planMillis: number[] = [];
	const changedSteps = new Set<number>();
	let movedExperts = 0;
	for (const {step, layer, tokens} of trace.lines) {
		const map = maps[layer];
		if (!map) {
			continue;
		}

		const rankTokens = measureRankTokens(map, tokens);
		const rankTimes = rankTokens.map((count, rank) => count * (slowFactors[rank] ?? 1));
		skews.push(measureSkew(rankTimes));
		const begin = performance.now();
		const next = policy.afterStep({
			step, layer, tokens, rankTokens, rankTimes, map,
		});
		planMillis.push(performance.now() - begin);
		if (next) {
			movedExperts += countMoved(map, next);
			changedSteps.add(step);
			maps[layer] = next;
		}
	}

	return {
		name: policy.name,
		meanSkew: findMean(skews),
		p95Skew: findPercentile(skews),
		movedExperts,
		rebalances: changedSteps.size,
		planMillisP95: findPercentile(planMillis),
		planMillis,
		lastChangeStep: Math.max(-1, ...changedSteps),
	};
}
