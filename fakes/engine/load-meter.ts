import type {Clock} from '../../src/core/clock.js';
import type {EngineState} from '../../src/ports/model-engine.js';
import {createLaggingValue} from '../state/lagging-value.js';
import type {ExpertShape} from './expert-shape.js';

const MILLIS_PER_SECOND = 1000;

/** The part of an engine's state that is reported with a lag. */
export type MeteredLoad = Pick<EngineState, 'running' | 'queued' | 'stepMillis' | 'tokensPerSecond' | 'tokensPerExpert'>;

/** A step that ran. */
export type MeteredStep = Readonly<{
	running: number;
	queued: number;
	tokens: ReadonlyArray<readonly number[]>;
	/** Time that this rank spent working in the step, in milliseconds. */
	rankMillis: number;
	/** Duration of the step for the whole group, in milliseconds. */
	stepMillis: number;
}>;

/** Measures the load of an engine and reports it with a lag. */
export type LoadMeter = {
	readonly addStep: (step: MeteredStep) => void;
	readonly read: () => MeteredLoad;
	/** Resets the load and the token counts to 0. */
	readonly resetToIdle: () => void;
};

function addTokens(
	total: ReadonlyArray<readonly number[]>,
	tokens: ReadonlyArray<readonly number[]>,
): ReadonlyArray<readonly number[]> {
	return total.map((layer, index) => layer.map((sum, expert) => sum + (tokens[index]?.[expert] ?? 0)));
}

/** Creates a meter that reports each step after `lagMillis`. */
export function createLoadMeter(shape: ExpertShape, clock: Clock, lagMillis: number): LoadMeter {
	const zeroTokenCounts = Array.from({length: shape.layers}, () => Array.from({length: shape.experts}, () => 0));
	const idleLoad: MeteredLoad = {
		running: 0, queued: 0, stepMillis: 0, tokensPerSecond: 0, tokensPerExpert: zeroTokenCounts,
	};
	const reportedLoad = createLaggingValue<MeteredLoad>(clock, idleLoad, lagMillis);

	return {
		addStep({running, queued, tokens, rankMillis, stepMillis}) {
			reportedLoad.set({
				running,
				queued,
				stepMillis: rankMillis,
				tokensPerSecond: running * MILLIS_PER_SECOND / Math.max(1, stepMillis),
				tokensPerExpert: addTokens(reportedLoad.current().tokensPerExpert, tokens),
			});
		},
		read: reportedLoad.read,
		resetToIdle() {
			reportedLoad.set(idleLoad);
		},
	};
}
