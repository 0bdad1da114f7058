import type {EventLoop} from './event-loop.js';
import {createPrefixCache, type PrefixCacheChange} from './prefix-cache.js';

/** Sequences that an engine decodes at once. */
const MAX_BATCH = 32;
/** Time of an empty step. */
const STEP_BASE_MILLIS = 12;
/** Time that each decoding sequence adds to a step. */
const STEP_MILLIS_PER_SEQUENCE = 0.35;
/** Time that each prompt token adds to the step that processes it. */
const STEP_MILLIS_PER_PROMPT_TOKEN = 0.08;
/** Prompt tokens processed in one step at most. */
const PROMPT_TOKENS_PER_STEP = 1024;
/** Prefixes that an engine holds. */
const CACHED_PREFIXES = 10;
/** Time between two looks of a stalled engine. */
const STALL_CHECK_MILLIS = 10;

/** A request as the modelled engine sees it. */
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

/** Load of a modelled engine at this moment. */
export type EngineLoad = Readonly<{running: number; queued: number; stepMillis: number}>;

/** Model of an engine with continuous batching, chunked prompt processing and a prefix cache. */
export type EngineModel = Readonly<{
	submit: (job: EngineJob) => void;
	readLoad: () => EngineLoad;
	/** Does nothing until `untilMillis`. */
	stall: (untilMillis: number) => void;
}>;

type Sequence = {
	readonly job: EngineJob;
	readonly cachedTokens: number;
	promptLeft: number;
	outputLeft: number;
};

/** Creates an idle engine whose steps take `slowFactor` times the usual time. */
export function createEngineModel(loop: EventLoop, slowFactor: number, onCacheChange: (change: PrefixCacheChange) => void): EngineModel {
	const cache = createPrefixCache(CACHED_PREFIXES, onCacheChange);
	let queue: EngineJob[] = [];
	let batch: Sequence[] = [];
	let isStepping = false;
	let stalledUntilMillis = 0;
	let stepMillis = STEP_BASE_MILLIS;

	function startSequence(job: EngineJob): Sequence {
		const isCached = job.prefixDigest !== undefined && cache.use(job.prefixDigest);
		const cachedTokens = isCached ? job.prefixTokens : 0;
		return {
			job, cachedTokens, promptLeft: job.promptTokens - cachedTokens, outputLeft: job.outputTokens,
		};
	}

	function fillBatch(): void {
		while (batch.length < MAX_BATCH && queue.length > 0) {
			const job = queue.shift();
			if (job) {
				batch.push(startSequence(job));
			}
		}
	}

	function processPrompts(): number {
		let room = PROMPT_TOKENS_PER_STEP;
		for (const sequence of batch) {
			const tokens = Math.min(room, sequence.promptLeft);
			sequence.promptLeft -= tokens;
			room -= tokens;
		}

		return PROMPT_TOKENS_PER_STEP - room;
	}

	function emitToken(sequence: Sequence): void {
		const {job} = sequence;
		if (sequence.outputLeft === job.outputTokens) {
			if (job.prefixDigest !== undefined) {
				cache.insert(job.prefixDigest);
			}

			job.onFirstToken(sequence.cachedTokens);
		} else {
			job.onToken();
		}

		sequence.outputLeft -= 1;
	}

	function endStep(ready: readonly Sequence[]): void {
		for (const sequence of ready) {
			emitToken(sequence);
		}

		const ended = batch.filter(sequence => sequence.outputLeft <= 0);
		batch = batch.filter(sequence => sequence.outputLeft > 0);
		for (const sequence of ended) {
			sequence.job.onEnd();
		}

		step();
	}

	function step(): void {
		isStepping = true;
		if (loop.nowMillis() < stalledUntilMillis) {
			loop.schedule(STALL_CHECK_MILLIS, step);
			return;
		}

		fillBatch();
		if (batch.length === 0) {
			isStepping = false;
			return;
		}

		const promptTokens = processPrompts();
		const ready = batch.filter(sequence => sequence.promptLeft === 0);
		stepMillis = (STEP_BASE_MILLIS + (ready.length * STEP_MILLIS_PER_SEQUENCE) + (promptTokens * STEP_MILLIS_PER_PROMPT_TOKEN)) * slowFactor;
		loop.schedule(stepMillis, () => {
			endStep(ready);
		});
	}

	return {
		submit(job) {
			const at = queue.findIndex(other => other.priority < job.priority);
			queue = at === -1 ? [...queue, job] : queue.toSpliced(at, 0, job);
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
