import type {ServiceLoad} from './admission-request.js';

/** Requests in flight allowed at first, for each backend server. */
const INITIAL_PER_BACKEND_SERVER = 4;
/** Requests in flight that are always allowed. */
const MIN_LIMIT = 4;
/** Requests queued at the backend servers over those running, above which the limit goes down. */
const MAX_QUEUED_SHARE = 0.02;
/** Part of the queued share by which the limit goes down. */
const DECREASE_PART = 0.5;
/** Smallest factor of one decrease. */
const MIN_DECREASE_FACTOR = 0.6;
/** Part of the limit's square root that is added when the limit was reached and few queue. */
const INCREASE_PART = 0.4;
/** The same as long as no backend server has ever reported a queue. */
const START_INCREASE_FACTOR = 1.3;
/** Shortest time between two changes of the limit. */
const MIN_CHANGE_INTERVAL_MILLIS = 500;
/** Weight of the latest request in the mean time that a request is in flight. */
const HOLD_WEIGHT = 0.02;

/**
 * Requests of one service that this entry may have in flight, learnt from the queues of the backend servers. It grows by less
 * than in proportion and shrinks in proportion, so that entries which share the backend servers come to equal limits.
 */
export type ConcurrencyLimit = Readonly<{
	/** Whether one more request may be dispatched. */
	hasFreePermit: () => boolean;
	noteDispatched: () => void;
	noteReleased: (heldMillis: number) => void;
	noteLoad: (load: ServiceLoad, nowMillis: number) => void;
	readLimit: () => number;
	/** Requests a millisecond that end when the limit is used up; infinite until one has ended. */
	readCompletionRate: () => number;
}>;

/** Creates a limit that has seen no load yet. */
export function createConcurrencyLimit(): ConcurrencyLimit {
	let limit: number | undefined;
	let inFlight = 0;
	let meanHeldMillis = 0;
	let wasReached = false;
	let hasSeenQueue = false;
	let changedAtMillis = -Infinity;

	const readLimit = () => limit ?? INITIAL_PER_BACKEND_SERVER;

	function increase(): number {
		return hasSeenQueue ? readLimit() + (Math.sqrt(readLimit()) * INCREASE_PART) : readLimit() * START_INCREASE_FACTOR;
	}

	function decrease(queuedShare: number): number {
		hasSeenQueue = true;
		return readLimit() * Math.max(MIN_DECREASE_FACTOR, 1 - (queuedShare * DECREASE_PART));
	}

	function chooseLimit(load: ServiceLoad): number {
		const queuedShare = load.queued / Math.max(1, load.running);
		if (queuedShare > MAX_QUEUED_SHARE) {
			return decrease(queuedShare);
		}

		return wasReached ? increase() : readLimit();
	}

	function change(load: ServiceLoad, nowMillis: number): void {
		const before = readLimit();
		limit = Math.max(MIN_LIMIT, chooseLimit(load));
		changedAtMillis = limit === before ? changedAtMillis : nowMillis;
		wasReached = false;
	}

	return {
		hasFreePermit() {
			const room = inFlight + 1 <= readLimit();
			wasReached ||= !room;
			return room;
		},
		noteDispatched() {
			inFlight += 1;
		},
		noteReleased(heldMillis) {
			inFlight -= 1;
			meanHeldMillis = meanHeldMillis === 0 ? heldMillis : meanHeldMillis + ((heldMillis - meanHeldMillis) * HOLD_WEIGHT);
		},
		noteLoad(load, nowMillis) {
			limit ??= Math.max(MIN_LIMIT, INITIAL_PER_BACKEND_SERVER * load.backendServers);
			// A report that was measured before the last change says nothing about it.
			const measuredAtMillis = nowMillis - load.ageMillis;
			if (measuredAtMillis > changedAtMillis && nowMillis - changedAtMillis >= MIN_CHANGE_INTERVAL_MILLIS) {
				change(load, nowMillis);
			}
		},
		readLimit,
		readCompletionRate: () => meanHeldMillis === 0 ? Infinity : readLimit() / meanHeldMillis,
	};
}
