import {systemClock} from '../../src/core/system-clock.js';
import {
	askModel, callService, fetchAddresses, type AddressAnswer, type CallerOutcome,
} from './caller.js';
import type {CallTry, LoggedCall} from './call-log.js';

/** Longest wait before a caller repeats a call, in milliseconds. */
const MAX_RETRY_WAIT_MILLIS = 1500;
/** Wait before a caller repeats a call without being told when, in milliseconds. */
const RETRY_WAIT_MILLIS = 150;
/** Tries that a caller makes of one call. */
const MAX_TRIES = 5;

/** Who calls what. */
export type CallWorkerOptions = Readonly<{
	/** Any entries, to ask for addresses. */
	entryUrls: readonly string[];
	credential: string;
	modelService: string;
	modelClass: string;
	plainService: string;
	plainClass: string;
	/** Uniform in [0, 1). */
	random: () => number;
}>;

/** A caller that asks for addresses, keeps the answer for its lifetime, connects there, and repeats by key. */
export type CallWorker = Readonly<{
	postOnce: (key: string, body: string, isBound: boolean) => Promise<LoggedCall>;
	ask: (prompt: string, maxTokens: number) => Promise<LoggedCall>;
}>;

type Cached = Readonly<{answer: AddressAnswer; untilMillis: number}>;

function isSettled(outcome: CallerOutcome): boolean {
	return outcome.tag === 'answered' || outcome.tag === 'faulty';
}

function retryWait(outcome: CallerOutcome): number {
	const told = outcome.tag === 'not_run' ? outcome.retryAfterMillis : undefined;
	return Math.min(told ?? RETRY_WAIT_MILLIS, MAX_RETRY_WAIT_MILLIS);
}

/** Creates a caller. */
export function createCallWorker(options: CallWorkerOptions): CallWorker {
	let cached: Cached | undefined;

	function pick<T>(items: readonly T[]): T | undefined {
		return items[Math.floor(options.random() * items.length)];
	}

	async function readAddresses(): Promise<AddressAnswer | undefined> {
		if (cached && cached.untilMillis > systemClock.monotonicMillis()) {
			return cached.answer;
		}

		const asked = systemClock.monotonicMillis();
		for (const url of options.entryUrls.toSorted(() => options.random() - 0.5)) {
			// eslint-disable-next-line no-await-in-loop
			const answer = await fetchAddresses(url, options.credential);
			if (answer && answer.addresses.length > 0) {
				cached = {answer, untilMillis: asked + answer.lifetimeMillis};
				return answer;
			}
		}

		return undefined;
	}

	async function tryOnce(call: (url: string) => Promise<CallerOutcome>, avoid: string | undefined): Promise<CallTry> {
		const answer = await readAddresses();
		const urls = answer?.addresses.map(address => address.url) ?? [];
		const others = urls.filter(url => url !== avoid);
		const url = pick(others.length > 0 ? others : urls) ?? '';
		const begunMillis = systemClock.monotonicMillis();
		const outcome: CallerOutcome = url === '' ? {tag: 'not_connected'} : await call(url);
		if (outcome.tag === 'not_connected' || outcome.tag === 'disconnected') {
			cached = undefined;
		}

		return {
			url, outcome, tookMillis: systemClock.monotonicMillis() - begunMillis, endedAt: new Date().toISOString(),
		};
	}

	async function tryUntilSettled(call: (url: string) => Promise<CallerOutcome>): Promise<readonly CallTry[]> {
		const tries: CallTry[] = [];
		while (tries.length < MAX_TRIES) {
			// eslint-disable-next-line no-await-in-loop
			const attempt = await tryOnce(call, tries.at(-1)?.url);
			tries.push(attempt);
			if (isSettled(attempt.outcome)) {
				break;
			}

			// eslint-disable-next-line no-await-in-loop
			await systemClock.sleep(retryWait(attempt.outcome));
		}

		return tries;
	}

	const {credential} = options;
	return {
		async postOnce(key, body, isBound) {
			const answer = await readAddresses();
			const binding = isBound ? answer?.bindings.find(({service}) => service === options.plainService)?.binding : undefined;
			const tries = await tryUntilSettled(async url => callService({
				url, credential, service: options.plainService, workClass: options.plainClass, key, body, binding,
			}));
			return {
				kind: 'plain', key, body, isBound: binding !== undefined, tries,
			};
		},
		async ask(prompt, maxTokens) {
			const tries = await tryUntilSettled(async url => askModel({
				url, credential, service: options.modelService, workClass: options.modelClass, prompt, maxTokens,
			}));
			return {
				kind: 'model', prompt, maxTokens, tries,
			};
		},
	};
}
