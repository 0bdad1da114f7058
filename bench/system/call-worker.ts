import {systemClock} from '../../src/core/system-clock.js';
import {
	askModel, callService, fetchAddresses, type AddressAnswer, type CallerOutcome,
} from './caller.js';
import type {CallTry, LoggedCall} from './call-log.js';

/** Longest wait before a retry, in milliseconds. */
const MAX_RETRY_WAIT_MILLIS = 1500;
/** Wait before a retry when the answer gives no retry-after time, in milliseconds. */
const RETRY_WAIT_MILLIS = 150;
/** Tries of one call, the first included. */
const MAX_TRIES = 5;

/** Which services a caller calls, and with which credential. */
export type CallWorkerOptions = Readonly<{
	/** Entries that answer address requests; an answer from one of them is enough. */
	entryUrls: readonly string[];
	credential: string;
	modelService: string;
	modelClass: string;
	plainService: string;
	plainClass: string;
	/** Uniform in [0, 1). */
	random: () => number;
}>;

/** A caller that fetches entry addresses, caches them for their lifetime, and retries calls, those to plain services with the same idempotency key. */
export type CallWorker = Readonly<{
	callPlainService: (key: string, body: string, isBound: boolean) => Promise<LoggedCall>;
	askModel: (prompt: string, maxTokens: number) => Promise<LoggedCall>;
}>;

type CachedAddresses = Readonly<{answer: AddressAnswer; expiresAtMillis: number}>;

function isSettled(outcome: CallerOutcome): boolean {
	return outcome.tag === 'answered' || outcome.tag === 'faulty';
}

function retryWaitMillis(outcome: CallerOutcome): number {
	const suggestedMillis = outcome.tag === 'not_run' ? outcome.retryAfterMillis : undefined;
	return Math.min(suggestedMillis ?? RETRY_WAIT_MILLIS, MAX_RETRY_WAIT_MILLIS);
}

export function createCallWorker(options: CallWorkerOptions): CallWorker {
	let cached: CachedAddresses | undefined;

	function pickRandom<T>(items: readonly T[]): T | undefined {
		return items[Math.floor(options.random() * items.length)];
	}

	async function readAddresses(): Promise<AddressAnswer | undefined> {
		if (cached && cached.expiresAtMillis > systemClock.monotonicMillis()) {
			return cached.answer;
		}

		const requestedAtMillis = systemClock.monotonicMillis();
		for (const url of options.entryUrls.toSorted(() => options.random() - 0.5)) {
			// eslint-disable-next-line no-await-in-loop
			const answer = await fetchAddresses(url, options.credential);
			if (answer && answer.addresses.length > 0) {
				cached = {answer, expiresAtMillis: requestedAtMillis + answer.lifetimeMillis};
				return answer;
			}
		}

		return undefined;
	}

	async function tryOnce(call: (url: string) => Promise<CallerOutcome>, excludedUrl: string | undefined): Promise<CallTry> {
		const answer = await readAddresses();
		const urls = answer?.addresses.map(address => address.url) ?? [];
		const otherUrls = urls.filter(url => url !== excludedUrl);
		const url = pickRandom(otherUrls.length > 0 ? otherUrls : urls) ?? '';
		const startedAtMillis = systemClock.monotonicMillis();
		const outcome: CallerOutcome = url === '' ? {tag: 'not_connected'} : await call(url);
		if (outcome.tag === 'not_connected' || outcome.tag === 'disconnected') {
			cached = undefined;
		}

		return {
			url, outcome, tookMillis: systemClock.monotonicMillis() - startedAtMillis, endedAt: new Date().toISOString(),
		};
	}

	async function tryUntilSettled(call: (url: string) => Promise<CallerOutcome>): Promise<readonly CallTry[]> {
		const tries: CallTry[] = [];
		while (tries.length < MAX_TRIES) {
			// eslint-disable-next-line no-await-in-loop
			const lastTry = await tryOnce(call, tries.at(-1)?.url);
			tries.push(lastTry);
			if (isSettled(lastTry.outcome)) {
				break;
			}

			// eslint-disable-next-line no-await-in-loop
			await systemClock.sleep(retryWaitMillis(lastTry.outcome));
		}

		return tries;
	}

	const {credential} = options;
	return {
		async callPlainService(key, body, isBound) {
			const answer = await readAddresses();
			const binding = isBound ? answer?.bindings.find(({service}) => service === options.plainService)?.binding : undefined;
			const tries = await tryUntilSettled(async url => callService({
				url, credential, service: options.plainService, workClass: options.plainClass, key, body, binding,
			}));
			return {
				kind: 'plain', key, body, isBound: binding !== undefined, tries,
			};
		},
		async askModel(prompt, maxTokens) {
			const tries = await tryUntilSettled(async url => askModel({
				url, credential, service: options.modelService, workClass: options.modelClass, prompt, maxTokens,
			}));
			return {
				kind: 'model', prompt, maxTokens, tries,
			};
		},
	};
}
