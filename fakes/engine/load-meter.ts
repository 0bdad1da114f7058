import type {Clock} from '../../src/core/clock.js';
import type {EngineState} from '../../src/ports/model-engine.js';
import {createLaggingValue} from '../state/lagging-value.js';
import type {ExpertShape} from './expert-shape.js';

const MILLIS_PER_SECOND = 1000;

/** The part of an engine's state that lags. */
export type MeteredLoad = Pick<EngineState, 'running' | 'queued' | 'stepMillis' | 'tokensPerSecond' | 'tokensPerExpert'>;

/** A step that ran. */
export type MeteredStep = Readonly<{
	running: number;
	queued: number;
	tokens: ReadonlyArray<readonly number[]>;
	/** Time that this rank worked in the step, in milliseconds. */
	rankMillis: number;
	/** Time of the step of the whole group, in milliseconds. */
	stepMillis: number;
}>;

/** Measures the load of an engine and shows it late. */
export type LoadMeter = {
	readonly addStep: (step: MeteredStep) => void;
	readonly read: () => MeteredLoad;
	/** Starts the token counts at 0 again. */
	readonly restart: () => void;
};

function addTokens(
	total: ReadonlyArray<readonly number[]>,
	tokens: ReadonlyArray<readonly number[]>,
): ReadonlyArray<readonly number[]> {
	return total.map((layer, index) => layer.map((sum, expert) => sum + (tokens[index]?.[expert] ?? 0)));
}

/** Creates a meter that shows each step `lagMillis` late. */
export function createLoadMeter(shape: ExpertShape, clock: Clock, lagMillis: number): LoadMeter {
	const noTokens = Array.from({length: shape.layers}, () => Array.from({length: shape.experts}, () => 0));
	const idle: MeteredLoad = {
		running: 0, queued: 0, stepMillis: 0, tokensPerSecond: 0, tokensPerExpert: noTokens,
	};
	const shown = createLaggingValue<MeteredLoad>(clock, idle, lagMillis);

	return {
		addStep({running, queued, tokens, rankMillis, stepMillis}) {
			shown.set({
				running,
				queued,
				stepMillis: rankMillis,
				tokensPerSecond: running * MILLIS_PER_SECOND / Math.max(1, stepMillis),
				tokensPerExpert: addTokens(shown.truth().tokensPerExpert, tokens),
			});
		},
		read: shown.read,
		restart() {
			shown.set(idle);
		},
	};
}
