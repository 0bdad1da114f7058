import {createSeededRandom, type RandomSource} from '../../src/decisions/random.js';
import {drawExponential} from './distributions.js';
import {createEngineModel, type EngineModel} from './engine-model.js';
import {createEventLoop} from './event-loop.js';

export const ENGINE_COUNT = 12;
/** Mean lengths of a prompt and of its answer. */
const MEAN_TOKENS = {prompt: 500, output: 60};
const IN_FLIGHT_PER_ENGINE = 40;
/** Simulation times between which ended requests are counted. */
const COUNTING_WINDOW_MILLIS = {from: 20_000, until: 80_000};

/** Draws the length of a prompt in tokens. */
export function drawPromptTokens(random: RandomSource): number {
	return 1 + Math.round(drawExponential(MEAN_TOKENS.prompt, random));
}

/** Draws the length of an answer in tokens. */
export function drawOutputTokens(random: RandomSource): number {
	return 1 + Math.round(drawExponential(MEAN_TOKENS.output, random));
}

function doNothing(): void {
	// Only the end of a request is counted.
}

/** Keeps one request in flight: submits a new one whenever the last one ends. */
function keepBusy(engine: EngineModel, random: RandomSource, noteEnd: () => void): void {
	engine.submit({
		prefixDigest: undefined,
		prefixTokens: 0,
		promptTokens: drawPromptTokens(random),
		outputTokens: drawOutputTokens(random),
		priority: 0,
		onFirstToken: doNothing,
		onToken: doNothing,
		onEnd() {
			noteEnd();
			keepBusy(engine, random, noteEnd);
		},
	});
}

/** Measures the requests per second that the engines complete under saturation. */
export async function measureEngineCapacity(seed: number): Promise<number> {
	const loop = createEventLoop();
	const random = createSeededRandom(seed);
	let endedCount = 0;
	const noteEnd = () => {
		endedCount += loop.nowMillis() >= COUNTING_WINDOW_MILLIS.from ? 1 : 0;
	};

	for (let i = 0; i < ENGINE_COUNT; i++) {
		const engine = createEngineModel(loop, 1, doNothing);
		for (let j = 0; j < IN_FLIGHT_PER_ENGINE; j++) {
			keepBusy(engine, random, noteEnd);
		}
	}

	await loop.run(COUNTING_WINDOW_MILLIS.until);
	return (endedCount * 1000) / (COUNTING_WINDOW_MILLIS.until - COUNTING_WINDOW_MILLIS.from);
}
