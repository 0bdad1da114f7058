/**
 * Answers uneven load and slow, failing or leaving backend servers: the candidate with the least expected work goes first, by
 * what this process has in flight there, what the backend server reported, and how its last requests ended.
 */
import type {Clock} from '../../core/clock.js';
import type {ReportedLoad} from '../../ports/call-codec.js';
import type {RandomSource} from '../random.js';
import {
	WARM_UP_COST_FACTOR, EJECTION_FAILURES, FAILURE_HALF_LIFE_MILLIS, LATENCY_WEIGHT, MAX_EJECTED_SHARE, REPORT_TIME_CONSTANT_MILLIS,
} from './flow-constants.js';

/** A backend server that could take a request. */
export type Candidate = Readonly<{id: string; slots: number; coldLeftMillis: number}>;

/** Chooses backend servers and learns from what became of the requests. */
export type ServerPicker = Readonly<{
	/** The best of the candidates; undefined when there is none. */
	pick: <T extends Candidate>(candidates: readonly T[]) => T | undefined;
	noteStart: (id: string) => void;
	/** `millis` is the time to the first byte; undefined when it says nothing about the backend server. */
	noteEnd: (id: string, outcome: 'served' | 'refused' | 'failed', millis?: number) => void;
	noteLoad: (id: string, load: ReportedLoad) => void;
	countInFlight: (id: string) => number;
	/** Forgets backend servers that are not listed any more. */
	retain: (isListed: (id: string) => boolean) => void;
}>;

type ServerState = Readonly<{
	inFlight: number;
	/** Requests of other processes when the load was reported. */
	others: number;
	reportedAtMillis: number;
	/** Failures, halved with their age. */
	failures: number;
	failedAtMillis: number;
	/** Mean time to the first byte, in milliseconds; 0 before the first. */
	latencyMillis: number;
}>;

const UNKNOWN: ServerState = {
	inFlight: 0, others: 0, reportedAtMillis: 0, failures: 0, failedAtMillis: 0, latencyMillis: 0,
};

/** Weight of a refusal against that of a failure. */
const REFUSAL_WEIGHT = 0.5;

/** What a picker needs. */
export type ServerPickerDeps = Readonly<{
	clock: Clock;
	random: RandomSource;
	/** Told when a backend server has failed so often that others go first, and for how long if it fails no more. */
	onEjected: (id: string, avoided: Readonly<{failures: number; forMillis: number}>) => void;
}>;

/** Creates a picker that knows nothing yet. */
export function createServerPicker({clock, random, onEjected: onAvoided}: ServerPickerDeps): ServerPicker {
	const states = new Map<string, ServerState>();
	const read = (id: string) => states.get(id) ?? UNKNOWN;

	function change(id: string, update: (state: ServerState) => ServerState): void {
		states.set(id, update(read(id)));
	}

	function readFailures(state: ServerState, nowMillis: number): number {
		return state.failures * (2 ** ((state.failedAtMillis - nowMillis) / FAILURE_HALF_LIFE_MILLIS));
	}

	function readCost({id, slots, coldLeftMillis}: Candidate, usualLatencyMillis: number, nowMillis: number): number {
		const state = read(id);
		const others = state.others * Math.exp((state.reportedAtMillis - nowMillis) / REPORT_TIME_CONSTANT_MILLIS);
		const slowness = state.latencyMillis > 0 && usualLatencyMillis > 0 ? Math.max(0.5, state.latencyMillis / usualLatencyMillis) : 1;
		const load = (state.inFlight + others + 1) / Math.max(1, slots);
		return load * slowness * (1 + readFailures(state, nowMillis)) * (coldLeftMillis > 0 ? WARM_UP_COST_FACTOR : 1);
	}

	/** Leaves out those that failed lately, but never more than a share of all. */
	function dropEjected<T extends Candidate>(candidates: readonly T[], nowMillis: number): readonly T[] {
		const mostEjected = Math.floor(candidates.length * MAX_EJECTED_SHARE);
		const ejected = new Set(candidates
			.map(candidate => ({candidate, failures: readFailures(read(candidate.id), nowMillis)}))
			.filter(({failures}) => failures >= EJECTION_FAILURES)
			.toSorted((left, right) => right.failures - left.failures)
			.slice(0, mostEjected)
			.map(({candidate}) => candidate));
		return candidates.filter(candidate => !ejected.has(candidate));
	}

	function readUsualLatency(candidates: readonly Candidate[]): number {
		const known = candidates.map(({id}) => read(id).latencyMillis).filter(millis => millis > 0).toSorted((left, right) => left - right);
		return known[Math.floor(known.length / 2)] ?? 0;
	}

	return {
		pick(candidates) {
			const nowMillis = clock.monotonicMillis();
			const usualLatencyMillis = readUsualLatency(candidates);
			let best;
			let bestCost = Infinity;
			for (const candidate of dropEjected(candidates, nowMillis)) {
				// Equal costs are common at low load; chance keeps processes from choosing in step.
				const cost = readCost(candidate, usualLatencyMillis, nowMillis) * (1 + (random() * 0.05));
				if (cost < bestCost) {
					bestCost = cost;
					best = candidate;
				}
			}

			return best;
		},
		noteStart(id) {
			change(id, state => ({...state, inFlight: state.inFlight + 1}));
		},
		noteEnd(id, outcome, millis) {
			const nowMillis = clock.monotonicMillis();
			const failuresBefore = readFailures(read(id), nowMillis);
			change(id, state => {
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
				onAvoided(id, {failures, forMillis: FAILURE_HALF_LIFE_MILLIS * Math.log2(failures / EJECTION_FAILURES)});
			}
		},
		noteLoad(id, {running, waiting}) {
			change(id, state => ({
				...state, others: Math.max(0, running + waiting - state.inFlight), reportedAtMillis: clock.monotonicMillis(),
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
