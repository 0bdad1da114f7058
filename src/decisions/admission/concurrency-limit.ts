import type {ServiceLoad} from './admission-request.js';

/** Initial limit on requests in flight for each backend server. */
const INITIAL_PER_BACKEND_SERVER = 4;
/** Lower bound of the limit on requests in flight. */
const MIN_LIMIT = 4;
/** Ratio of requests queued to requests running at the backend servers above which the limit is decreased. */
const MAX_QUEUED_SHARE = 0.02;
/** Relative decrease of the limit per unit of the queued share. */
const DECREASE_PER_QUEUED_SHARE = 0.5;
/** Smallest factor that one decrease applies to the limit. */
const MIN_DECREASE_FACTOR = 0.6;
/** Multiple of the limit's square root that is added when the limit was reached and few requests are queued. */
const SQRT_INCREASE_FACTOR = 0.4;
/** Factor of an increase as long as no backend server has ever reported a queue. */
const SLOW_START_FACTOR = 1.3;
/** Minimum time between two changes of the limit. */
const MIN_CHANGE_INTERVAL_MILLIS = 500;
/** Weight of the latest request in the moving average of the time in flight. */
const HOLD_TIME_WEIGHT = 0.02;

/**
 * Adaptive limit on the requests of one service that this entry has in flight, driven by the queues of the backend servers.
 * It increases sublinearly and decreases multiplicatively, so that entries sharing the backend servers converge to equal limits.
 */
export type ConcurrencyLimit = Readonly<{
	/** Whether one more request may be dispatched. */
	hasFreePermit: () => boolean;
	noteDispatched: () => void;
	noteReleased: (heldMillis: number) => void;
	noteLoad: (load: ServiceLoad, nowMillis: number) => void;
	readLimit: () => number;
	/** Requests completed per millisecond when the limit is fully used; infinite until one has completed. */
	readCompletionRate: () => number;
}>;

/** Creates a limit that starts at its initial value. */
export function createConcurrencyLimit(): ConcurrencyLimit {
	let limit: number | undefined;
	let inFlight = 0;
	let meanHoldMillis = 0;
	let wasLimitReached = false;
	let hasSeenQueue = false;
	let limitChangedAtMillis = -Infinity;

	const readLimit = () => limit ?? INITIAL_PER_BACKEND_SERVER;

	function increase(): number {
		return hasSeenQueue ? readLimit() + (Math.sqrt(readLimit()) * SQRT_INCREASE_FACTOR) : readLimit() * SLOW_START_FACTOR;
	}

	function decrease(queuedShare: number): number {
		hasSeenQueue = true;
		return readLimit() * Math.max(MIN_DECREASE_FACTOR, 1 - (queuedShare * DECREASE_PER_QUEUED_SHARE));
	}

	function chooseLimit(load: ServiceLoad): number {
		const queuedShare = load.queued / Math.max(1, load.running);
		if (queuedShare > MAX_QUEUED_SHARE) {
			return decrease(queuedShare);
		}

		return wasLimitReached ? increase() : readLimit();
	}

	function updateLimit(load: ServiceLoad, nowMillis: number): void {
		const before = readLimit();
		limit = Math.max(MIN_LIMIT, chooseLimit(load));
		limitChangedAtMillis = limit === before ? limitChangedAtMillis : nowMillis;
		wasLimitReached = false;
	}

	return {
		hasFreePermit() {
			const isBelowLimit = inFlight + 1 <= readLimit();
			wasLimitReached ||= !isBelowLimit;
			return isBelowLimit;
		},
		noteDispatched() {
			inFlight += 1;
		},
		noteReleased(heldMillis) {
			inFlight -= 1;
			meanHoldMillis = meanHoldMillis === 0 ? heldMillis : meanHoldMillis + ((heldMillis - meanHoldMillis) * HOLD_TIME_WEIGHT);
		},
		noteLoad(load, nowMillis) {
			limit ??= Math.max(MIN_LIMIT, INITIAL_PER_BACKEND_SERVER * load.backendServers);
			// A report measured before the last change does not reflect its effect.
			const measuredAtMillis = nowMillis - load.ageMillis;
			if (measuredAtMillis > limitChangedAtMillis && nowMillis - limitChangedAtMillis >= MIN_CHANGE_INTERVAL_MILLIS) {
				updateLimit(load, nowMillis);
			}
		},
		readLimit,
		readCompletionRate: () => meanHoldMillis === 0 ? Infinity : readLimit() / meanHoldMillis,
	};
}
