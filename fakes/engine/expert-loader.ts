import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import type {ExpertMap} from '../../src/ports/model-engine.js';
import {expertsOfRank} from './expert-shape.js';

/** Delay before a failed fetch is retried if the weight store names none, in milliseconds. */
const DEFAULT_RETRY_DELAY_MILLIS = 100;
/** Time after which a fetch without a response fails, in milliseconds. */
const RESPONSE_TIMEOUT_MILLIS = 2000;
const OK_STATUS = 200;

/** Fetches one expert copy. Returns 0 on success, otherwise the delay before the next attempt, in milliseconds. */
export type FetchExpert = (layer: number, expert: number) => Promise<number>;

/** Expert copies in the memory of one rank. */
export type ExpertLoader = {
	/** Resolves when the rank holds all its copies of `map`. Concurrent loads of one epoch share one run. */
	readonly load: (epoch: number, map: ExpertMap) => Promise<void>;
	/** Evicts the copies that neither `map` nor a load for a later epoch needs. */
	readonly evictUnneeded: (epoch: number, map: ExpertMap) => void;
	/** Releases the copies loaded for this epoch; those that nothing else needs are evicted with the next map. */
	readonly releaseReserved: (epoch: number) => void;
	/** Number of copies fetched since the start. */
	readonly fetchedCount: () => number;
};

function copiesOfRank(map: ExpertMap, rank: number): readonly string[] {
	return map.layers.flatMap((_, layer) => expertsOfRank(map, layer, rank).map(expert => `${layer}/${expert}`));
}

async function readRetryDelay(body: Readonly<{json: () => Promise<unknown>}>): Promise<number> {
	const reply = await body.json();
	const millis: unknown = typeof reply === 'object' && reply !== null ? Reflect.get(reply, 'retryAfterMillis') : undefined;
	return typeof millis === 'number' ? millis : DEFAULT_RETRY_DELAY_MILLIS;
}

/** Fetches from the weight store at `baseUrl`. A failed request returns the default retry delay. */
export function createWeightStoreFetch(baseUrl: string): FetchExpert {
	return async (layer, expert) => {
		try {
			const reply = await request(`${baseUrl}/v1/layers/${layer}/experts/${expert}`, {
				headersTimeout: RESPONSE_TIMEOUT_MILLIS,
				bodyTimeout: RESPONSE_TIMEOUT_MILLIS,
			});
			if (reply.statusCode === OK_STATUS) {
				await reply.body.dump();
				return 0;
			}

			return await readRetryDelay(reply.body);
		} catch {
			return DEFAULT_RETRY_DELAY_MILLIS;
		}
	};
}

/** Creates the loader of a rank that already holds its copies of `initialMap`. */
export function createExpertLoader(rank: number, initialMap: ExpertMap, fetchExpert: FetchExpert): ExpertLoader {
	let heldCopies: ReadonlySet<string> = new Set(copiesOfRank(initialMap, rank));
	const loadsByEpoch = new Map<number, Promise<void>>();
	const reservedCopiesByEpoch = new Map<number, readonly string[]>();
	let fetchedCopies = 0;

	async function fetchCopy(copy: string): Promise<void> {
		const [layer, expert] = copy.split('/').map(Number);
		for (;;) {
			// eslint-disable-next-line no-await-in-loop
			const waitMillis = await fetchExpert(layer!, expert!);
			if (waitMillis === 0) {
				fetchedCopies += 1;
				heldCopies = new Set([...heldCopies, copy]);
				return;
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(waitMillis);
		}
	}

	async function fetchMissingCopies(map: ExpertMap): Promise<void> {
		for (const copy of copiesOfRank(map, rank)) {
			if (!heldCopies.has(copy)) {
				// eslint-disable-next-line no-await-in-loop
				await fetchCopy(copy);
			}
		}
	}

	return {
		async load(epoch, map) {
			reservedCopiesByEpoch.set(epoch, copiesOfRank(map, rank));
			const loading = loadsByEpoch.get(epoch) ?? fetchMissingCopies(map);
			loadsByEpoch.set(epoch, loading);
			await loading;
			loadsByEpoch.delete(epoch);
		},
		evictUnneeded(epoch, map) {
			for (const earlier of [...reservedCopiesByEpoch.keys()].filter(other => other <= epoch)) {
				reservedCopiesByEpoch.delete(earlier);
			}

			const needed = new Set([...copiesOfRank(map, rank), ...[...reservedCopiesByEpoch.values()].flat()]);
			heldCopies = new Set([...heldCopies].filter(copy => needed.has(copy)));
		},
		releaseReserved(epoch) {
			reservedCopiesByEpoch.delete(epoch);
		},
		fetchedCount: () => fetchedCopies,
	};
}
