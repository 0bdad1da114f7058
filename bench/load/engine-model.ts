import type {EventLoop} from './event-loop.js';
import {createPrefixCache, type PrefixCacheChange} from './prefix-cache.js';

/** Maximum number of sequences in a batch. */
const MAX_BATCH_SEQUENCES = 32;
/** Fixed part of the duration of a step. */
const STEP_BASE_MILLIS = 12;
/** Time that each decoding sequence adds to a step. */
const STEP_MILLIS_PER_SEQUENCE = 0.35;
/** Time that each prompt token adds to the step that processes it. */
const STEP_MILLIS_PER_PROMPT_TOKEN = 0.08;
const MAX_PROMPT_TOKENS_PER_STEP = 1024;
const PREFIX_CACHE_CAPACITY = 10;
/** Interval at which a stalled engine checks whether its stall has ended. */
const STALL_CHECK_INTERVAL_MILLIS = 10;

/** A request as submitted to the modelled engine. */
export type EngineJob = Readonly<{
	prefixDigest: string | undefined;
	prefixTokens: number;
	promptTokens: number;
	outputTokens: number;
	priority: number;
	onFirstToken: (cachedTokens: number) => void;
	onToken: () => void;
	onEnd: () => void;
}>;

/** Current load of a modelled engine. */
export type EngineLoad = Readonly<{running: number; queued: number; stepMillis: number}>;

/** Model of an engine with continuous batching, chunked prompt processing and a prefix cache. */
export type EngineModel = Readonly<{
	submit: (job: EngineJob) => void;
	readLoad: () => EngineLoad;
	/** Starts no step until `untilMillis`. */
	stall: (untilMillis: number) => void;
}>;

type Sequence = {
	readonly job: EngineJob;
	readonly cachedTokens: number;
	promptTokensLeft: number;
	outputTokensLeft: number;
};

/** Creates an idle engine whose steps take `slowFactor` times the usual time. */
export function createEngineModel(loop: EventLoop, slowFactor: number, onCacheChange: (change: PrefixCacheChange) => void): EngineModel {
	const cache = createPrefixCache(PREFIX_CACHE_CAPACITY, onCacheChange);
	let queue: EngineJob[] = [];
	let batch: Sequence[] = [];
	let isStepping = false;
	let stalledUntilMillis = 0;
	let stepMillis = STEP_BASE_MILLIS;

	function startSequence(job: EngineJob): Sequence {
		const isCached = job.prefixDigest !== undefined && cache.touch(job.prefixDigest);
		const cachedTokens = isCached ? job.prefixTokens : 0;
		return {
			job, cachedTokens, promptTokensLeft: job.promptTokens - cachedTokens, outputTokensLeft: job.outputTokens,
		};
	}

	function fillBatch(): void {
		while (batch.length < MAX_BATCH_SEQUENCES && queue.length > 0) {
			const job = queue.shift();
			if (job) {
				batch.push(startSequence(job));
			}
		}
	}

	function processPrompts(): number {
		let tokenBudget = MAX_PROMPT_TOKENS_PER_STEP;
		for (const sequence of batch) {
			const tokens = Math.min(tokenBudget, sequence.promptTokensLeft);
			sequence.promptTokensLeft -= tokens;
			tokenBudget -= tokens;
		}

		return MAX_PROMPT_TOKENS_PER_STEP - tokenBudget;
	}

	function emitToken(sequence: Sequence): void {
		const {job} = sequence;
		if (sequence.outputTokensLeft === job.outputTokens) {
			if (job.prefixDigest !== undefined) {
				cache.insert(job.prefixDigest);
			}

			job.onFirstToken(sequence.cachedTokens);
		} else {
			job.onToken();
		}

		sequence.outputTokensLeft -= 1;
	}

	function endStep(decoding: readonly Sequence[]): void {
		for (const sequence of decoding) {
			emitToken(sequence);
		}

		const ended = batch.filter(sequence => sequence.outputTokensLeft <= 0);
		batch = batch.filter(sequence => sequence.outputTokensLeft > 0);
		for (const sequence of ended) {
			sequence.job.onEnd();
		}

		step();
	}

	function step(): void {
		isStepping = true;
		if (loop.nowMillis() < stalledUntilMillis) {
			loop.schedule(STALL_CHECK_INTERVAL_MILLIS, step);
			return;
		}

		fillBatch();
		if (batch.length === 0) {
			isStepping = false;
			return;
		}

		const promptTokens = processPrompts();
		const decoding = batch.filter(sequence => sequence.promptTokensLeft === 0);
		stepMillis = (STEP_BASE_MILLIS + (decoding.length * STEP_MILLIS_PER_SEQUENCE) + (promptTokens * STEP_MILLIS_PER_PROMPT_TOKEN)) * slowFactor;
		loop.schedule(stepMillis, () => {
			endStep(decoding);
		});
	}

	return {
		submit(job) {
			const index = queue.findIndex(other => other.priority < job.priority);
			queue = index === -1 ? [...queue, job] : queue.toSpliced(index, 0, job);
			if (!isStepping) {
				step();
			}
		},
		readLoad: () => ({running: batch.length, queued: queue.length, stepMillis}),
		stall(untilMillis) {
			stalledUntilMillis = untilMillis;
		},
	};
}
