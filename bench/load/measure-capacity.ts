import {createSeededRandom, type RandomSource} from '../../src/decisions/random.js';
import {drawExponential} from './distributions.js';
import {createEngineModel, type EngineModel} from './engine-model.js';
import {createEventLoop} from './event-loop.js';

/** Engines of the model. */
export const ENGINES = 12;
/** Mean length of a prompt and of an answer in tokens. */
const REQUEST_TOKENS = {prompt: 500, output: 60};
/** Requests that are kept in flight at each engine. */
const IN_FLIGHT = 40;
/** Times after the start between which ended requests are counted. */
const COUNT_MILLIS = {from: 20_000, until: 80_000};

/** Draws the length of a prompt in tokens. */
export function drawPromptTokens(random: RandomSource): number {
	return 1 + Math.round(drawExponential(REQUEST_TOKENS.prompt, random));
}

/** Draws the length of an answer in tokens. */
export function drawOutputTokens(random: RandomSource): number {
	return 1 + Math.round(drawExponential(REQUEST_TOKENS.output, random));
}

function doNothing(): void {
	// Only the ends of the requests count.
}

/** Submits a request, and another whenever one ends. */
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

/** Requests a second that the engines answer when they always have work. */
export async function measureCapacity(seed: number): Promise<number> {
	const loop = createEventLoop();
	const random = createSeededRandom(seed);
	let ended = 0;
	const noteEnd = () => {
		ended += loop.nowMillis() >= COUNT_MILLIS.from ? 1 : 0;
	};

	for (let i = 0; i < ENGINES; i++) {
		const engine = createEngineModel(loop, 1, doNothing);
		for (let j = 0; j < IN_FLIGHT; j++) {
			keepBusy(engine, random, noteEnd);
		}
	}

	await loop.run(COUNT_MILLIS.until);
	return (ended * 1000) / (COUNT_MILLIS.until - COUNT_MILLIS.from);
}
