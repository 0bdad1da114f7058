import {systemClock} from '../src/core/system-clock.js';
import {startStandIn, type StandIn, type StandInApp} from './http/stand-in.js';
import {createTokenBucket, type TokenBucket} from './state/token-bucket.js';

/** Size of one expert copy in bytes. Only the transfer matters, not the content. */
const EXPERT_BYTES = 4096;
const MILLIS_PER_SECOND = 1000;

type RequestCounts = {served: number; refused: number};

function addRoutes(app: StandInApp, bucket: TokenBucket, counts: RequestCounts): void {
	app.get('/v1/layers/:layer/experts/:expert', ctx => {
		const waitMillis = bucket.take();
		if (waitMillis > 0) {
			counts.refused += 1;
			const retryAfter = String(Math.ceil(waitMillis / MILLIS_PER_SECOND));
			return ctx.json({tag: 'rate_limited', retryAfterMillis: waitMillis}, 429, {'Retry-After': retryAfter});
		}

		counts.served += 1;
		return ctx.body(new Uint8Array(EXPERT_BYTES));
	});
}

/** Starts a weight store that serves `ratePerSecond` expert copies. Its records are `{served, refused}`. */
export async function createWeightStore({listen, ratePerSecond}: Readonly<{listen: string; ratePerSecond: number}>): Promise<StandIn> {
	const counts: RequestCounts = {served: 0, refused: 0};
	const bucket = createTokenBucket(systemClock, ratePerSecond);
	return startStandIn({
		listen,
		addRoutes(app) {
			addRoutes(app, bucket, counts);
		},
		records: () => counts,
		reset() {
			counts.served = 0;
			counts.refused = 0;
		},
	});
}
