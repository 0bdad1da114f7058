/**
 * Balances load and steers around slow, failing or draining backend servers: picks the candidate with the least expected work,
 * based on the requests this process has in flight there, the reported load, and the outcomes of recent requests.
 */
import type {Clock} from '../../core/clock.js';
import type {ReportedLoad} from '../../ports/call-codec.js';
import type {RandomSource} from '../random.js';
import {
	WARM_UP_COST_FACTOR, EJECTION_FAILURES, FAILURE_HALF_LIFE_MILLIS, LATENCY_WEIGHT, MAX_EJECTED_SHARE, REPORT_TIME_CONSTANT_MILLIS,
} from './flow-constants.js';

/** A backend server that is eligible for a request. */
export type Candidate = Readonly<{id: string; slots: number; coldLeftMillis: number}>;

/** Picks backend servers and learns from the outcomes of requests. */
export type ServerPicker = Readonly<{
	/** Picks the candidate with the lowest cost; undefined when there is none. `readExtraCost` returns work in addition to the requests there, in requests. */
	pick: <T extends Candidate>(candidates: readonly T[], readExtraCost?: (candidate: T) => number) => T | undefined;
	noteStart: (id: string) => void;
	/** `millis` is the time to the first byte; undefined when it is not meaningful for the backend server. */
	noteEnd: (id: string, outcome: 'served' | 'refused' | 'failed', millis?: number) => void;
	noteLoad: (id: string, load: ReportedLoad) => void;
	countInFlight: (id: string) => number;
	/** Removes backend servers that are no longer listed. */
	retain: (isListed: (id: string) => boolean) => void;
}>;

type ServerState = Readonly<{
	inFlight: number;
	/** Requests of other processes in flight when the load was reported. */
	othersInFlight: number;
	reportedAtMillis: number;
	/** Failure score as of `failedAtMillis`; decays with age. */
	failures: number;
	failedAtMillis: number;
	/** Moving average of the time to the first byte, in milliseconds; 0 before the first measurement. */
	latencyMillis: number;
}>;

const INITIAL_STATE: ServerState = {
	inFlight: 0, othersInFlight: 0, reportedAtMillis: 0, failures: 0, failedAtMillis: 0, latencyMillis: 0,
};

/** Weight of a refusal in the failure score; a failure has 1. */
const REFUSAL_WEIGHT = 0.5;

export type ServerPickerDeps = Readonly<{
	clock: Clock;
	random: RandomSource;
	/** Called when the failure score of a backend server reaches the ejection threshold; `forMillis` is the ejection time without further failures. */
	onEjected: (id: string, ejection: Readonly<{failures: number; forMillis: number}>) => void;
}>;

/** Creates a picker without measurements. */
export function createServerPicker({clock, random, onEjected}: ServerPickerDeps): ServerPicker {
	const states = new Map<string, ServerState>();
	const read = (id: string) => states.get(id) ?? INITIAL_STATE;

	function updateState(id: string, update: (state: ServerState) => ServerState): void {
		states.set(id, update(read(id)));
	}

	function readFailures(state: ServerState, nowMillis: number): number {
		return state.failures * (2 ** ((state.failedAtMillis - nowMillis) / FAILURE_HALF_LIFE_MILLIS));
	}

	function readCost({id, slots, coldLeftMillis}: Candidate, medianLatencyMillis: number, nowMillis: number, extraCost: number): number {
		const state = read(id);
		const othersInFlight = state.othersInFlight * Math.exp((state.reportedAtMillis - nowMillis) / REPORT_TIME_CONSTANT_MILLIS);
		const relativeLatency = state.latencyMillis > 0 && medianLatencyMillis > 0 ? Math.max(0.5, state.latencyMillis / medianLatencyMillis) : 1;
		const load = (state.inFlight + othersInFlight + 1 + extraCost) / Math.max(1, slots);
		return load * relativeLatency * (1 + readFailures(state, nowMillis)) * (coldLeftMillis > 0 ? WARM_UP_COST_FACTOR : 1);
	}

	/** Excludes ejected candidates, but never more than a share of all. */
	function excludeEjected<T extends Candidate>(candidates: readonly T[], nowMillis: number): readonly T[] {
		const maxEjected = Math.floor(candidates.length * MAX_EJECTED_SHARE);
		const ejected = new Set(candidates
			.map(candidate => ({candidate, failures: readFailures(read(candidate.id), nowMillis)}))
			.filter(({failures}) => failures >= EJECTION_FAILURES)
			.toSorted((left, right) => right.failures - left.failures)
			.slice(0, maxEjected)
			.map(({candidate}) => candidate));
		return candidates.filter(candidate => !ejected.has(candidate));
	}

	function readMedianLatency(candidates: readonly Candidate[]): number {
		const latencies = candidates.map(({id}) => read(id).latencyMillis).filter(millis => millis > 0).toSorted((left, right) => left - right);
		return latencies[Math.floor(latencies.length / 2)] ?? 0;
	}

	return {
		pick(candidates, readExtraCost = () => 0) {
			const nowMillis = clock.monotonicMillis();
			const medianLatencyMillis = readMedianLatency(candidates);
			let best;
			let bestCost = Infinity;
			for (const candidate of excludeEjected(candidates, nowMillis)) {
				// Equal costs are common at low load; the random factor keeps processes from choosing in step.
				const cost = readCost(candidate, medianLatencyMillis, nowMillis, readExtraCost(candidate)) * (1 + (random() * 0.05));
				if (cost < bestCost) {
					bestCost = cost;
					best = candidate;
				}
			}

			return best;
		},
		noteStart(id) {
			updateState(id, state => ({...state, inFlight: state.inFlight + 1}));
		},
		noteEnd(id, outcome, millis) {
			const nowMillis = clock.monotonicMillis();
			const failuresBefore = readFailures(read(id), nowMillis);
			updateState(id, state => {
				const weight = {served: 0, refused: REFUSAL_WEIGHT, failed: 1}[outcome];
				const latencyMillis = millis === undefined || outcome !== 'served'
					? state.latencyMillis
					: (state.latencyMillis === 0 ? millis : state.latencyMillis + ((millis - state.latencyMillis) * LATENCY_WEIGHT));
				return {
					...state,
					inFlight: Math.max(0, state.inFlight - 1),
					failures: readFailures(state, nowMillis) + weight,
					failedAtMillis: nowMillis,
					latencyMillis,
				};
			});
			const {failures} = read(id);
			if (failuresBefore < EJECTION_FAILURES && failures >= EJECTION_FAILURES) {
				onEjected(id, {failures, forMillis: FAILURE_HALF_LIFE_MILLIS * Math.log2(failures / EJECTION_FAILURES)});
			}
		},
		noteLoad(id, {running, waiting}) {
			updateState(id, state => ({
				...state, othersInFlight: Math.max(0, running + waiting - state.inFlight), reportedAtMillis: clock.monotonicMillis(),
			}));
		},
		countInFlight: id => read(id).inFlight,
		retain(isListed) {
			for (const [id, state] of states) {
				if (!isListed(id) && state.inFlight === 0) {
					states.delete(id);
				}
			}
		},
	};
}
