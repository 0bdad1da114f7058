import {performance} from 'node:perf_hooks';
import {EMPTY_SLOT} from '../../src/decisions/placement/initial-map.js';
import {measureRankTokens, measureSkew} from '../../src/decisions/placement/layer-skew.js';
import type {ExpertMap, LayerMap} from '../../src/ports/model-engine.js';
import type {LoadTrace} from '../trace/trace-line.js';
import type {PlacementPolicy} from './placement-policy.js';

/** Results of a policy on a trace. Skew has one value per step and layer. */
export type PolicyReport = Readonly<{
	name: string;
	meanSkew: number;
	p95Skew: number;
	/** Copies loaded into a slot that did not hold them. */
	movedExperts: number;
	/** Steps after which the map of at least one layer changed. */
	rebalances: number;
	planMillisP95: number;
	/** Time that the policy took for each line of the trace. */
	planMillis: readonly number[];
	/** Last step after which the map of a layer changed; -1 if none did. */
	lastChangeStep: number;
}>;

const P95_SHARE = 0.95;

function computeP95(values: readonly number[]): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.ceil(sorted.length * P95_SHARE) - 1] ?? 0;
}

/** Mean of `values`; 0 for an empty list. */
export function computeMean(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return values.length > 0 ? sum / values.length : 0;
}

/** Counts the slots that receive a copy they did not hold before. */
export function countMovedExperts(before: LayerMap, after: LayerMap): number {
	return after.slots.filter((expert, slot) => expert !== EMPTY_SLOT && expert !== before.slots[slot]).length;
}

/** Replays a trace through a policy, starting from `initialMap`. */
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
		const startMillis = performance.now();
		const next = policy.afterStep({
			step, layer, tokens, rankTokens, rankTimes, map,
		});
		planMillis.push(performance.now() - startMillis);
		if (next) {
			movedExperts += countMovedExperts(map, next);
			changedSteps.add(step);
			maps[layer] = next;
		}
	}

	return {
		name: policy.name,
		meanSkew: computeMean(skews),
		p95Skew: computeP95(skews),
		movedExperts,
		rebalances: changedSteps.size,
		planMillisP95: computeP95(planMillis),
		planMillis,
		lastChangeStep: Math.max(-1, ...changedSteps),
	};
}
