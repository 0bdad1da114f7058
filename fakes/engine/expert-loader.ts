import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import type {ExpertMap} from '../../src/ports/model-engine.js';
import {expertsOfRank} from './expert-shape.js';

/** Time until a failed fetch is repeated, in milliseconds. */
const RETRY_MILLIS = 100;
/** Time until a fetch without an answer counts as failed, in milliseconds. */
const ANSWER_TIMEOUT_MILLIS = 2000;
const OK_STATUS = 200;

/** Fetches one expert copy; gives the time to wait before it may be asked for again, 0 when it came. */
export type FetchExpert = (layer: number, expert: number) => Promise<number>;

/** Expert copies in the memory of one rank. */
export type ExpertLoader = {
	/** Resolves when the rank holds all its copies of `map`; loads of one epoch are joined. */
	readonly load: (epoch: number, map: ExpertMap) => Promise<void>;
	/** Drops the copies that neither `map` nor a load for a later epoch needs. */
	readonly enter: (epoch: number, map: ExpertMap) => void;
	/** Copies that were loaded for this epoch only are dropped with the next map. */
	readonly forget: (epoch: number) => void;
	/** Copies fetched since the start. */
	readonly fetched: () => number;
};

function copiesOfRank(map: ExpertMap, rank: number): readonly string[] {
	return map.layers.flatMap((_, layer) => expertsOfRank(map, layer, rank).map(expert => `${layer}/${expert}`));
}

async function readRetryMillis(body: Readonly<{json: () => Promise<unknown>}>): Promise<number> {
	const reply = await body.json();
	const millis: unknown = typeof reply === 'object' && reply !== null ? Reflect.get(reply, 'retryAfterMillis') : undefined;
	return typeof millis === 'number' ? millis : RETRY_MILLIS;
}

/** Fetches from the weight store at `baseUrl`; a failure counts as a wait. */
export function createWeightStoreFetch(baseUrl: string): FetchExpert {
	return async (layer, expert) => {
		try {
			const reply = await request(`${baseUrl}/v1/layers/${layer}/experts/${expert}`, {
				headersTimeout: ANSWER_TIMEOUT_MILLIS,
				bodyTimeout: ANSWER_TIMEOUT_MILLIS,
			});
			if (reply.statusCode === OK_STATUS) {
				await reply.body.dump();
				return 0;
			}

			return await readRetryMillis(reply.body);
		} catch {
			return RETRY_MILLIS;
		}
	};
}

/** Creates the copies of a rank that holds its part of `initialMap`. */
export function createExpertLoader(rank: number, initialMap: ExpertMap, fetchExpert: FetchExpert): ExpertLoader {
	let held: ReadonlySet<string> = new Set(copiesOfRank(initialMap, rank));
	const loads = new Map<number, Promise<void>>();
	const awaited = new Map<number, readonly string[]>();
	let fetched = 0;

	async function fetchCopy(copy: string): Promise<void> {
		const [layer, expert] = copy.split('/').map(Number);
		for (;;) {
			// eslint-disable-next-line no-await-in-loop
			const waitMillis = await fetchExpert(layer!, expert!);
			if (waitMillis === 0) {
				fetched += 1;
				held = new Set([...held, copy]);
				return;
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(waitMillis);
		}
	}

	async function loadAll(map: ExpertMap): Promise<void> {
		for (const copy of copiesOfRank(map, rank)) {
			if (!held.has(copy)) {
				// eslint-disable-next-line no-await-in-loop
				await fetchCopy(copy);
			}
		}
	}

	return {
		async load(epoch, map) {
			awaited.set(epoch, copiesOfRank(map, rank));
			const loading = loads.get(epoch) ?? loadAll(map);
			loads.set(epoch, loading);
			await loading;
			loads.delete(epoch);
		},
		enter(epoch, map) {
			for (const earlier of [...awaited.keys()].filter(other => other <= epoch)) {
				awaited.delete(earlier);
			}

			const needed = new Set([...copiesOfRank(map, rank), ...[...awaited.values()].flat()]);
			held = new Set([...held].filter(copy => needed.has(copy)));
		},
		forget(epoch) {
			awaited.delete(epoch);
		},
		fetched: () => fetched,
	};
}
