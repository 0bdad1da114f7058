/** A log that omits debug lines above a rate limit. */
import type {Clock} from '../core/clock.js';
import type {Log, LogContext} from './log.js';

/** Rate limit of debug lines, and the largest burst. */
const DEBUG_LINES_PER_SECOND = 100;
const MILLIS_PER_SECOND = 1000;

/**
 * Limits the rate of the debug lines of `log` with a token bucket; `leftOut` of the next debug line written is the number of
 * lines omitted before it. Lines of other levels all pass.
 */
export function createSampledLog(log: Log, clock: Clock): Log {
	let tokens = DEBUG_LINES_PER_SECOND;
	let refilledAtMillis = clock.monotonicMillis();
	let leftOut = 0;

	function hasTokenAfterRefill(): boolean {
		const nowMillis = clock.monotonicMillis();
		tokens = Math.min(DEBUG_LINES_PER_SECOND, tokens + (DEBUG_LINES_PER_SECOND * (nowMillis - refilledAtMillis) / MILLIS_PER_SECOND));
		refilledAtMillis = nowMillis;
		return tokens >= 1;
	}

	function wrap(inner: Log): Log {
		return {
			...inner,
			debug(message: string, ctx: LogContext = {}) {
				if (!hasTokenAfterRefill()) {
					leftOut++;
					return;
				}

				tokens--;
				inner.debug(message, leftOut > 0 ? {...ctx, leftOut} : ctx);
				leftOut = 0;
			},
			child: ctx => wrap(inner.child(ctx)),
		};
	}

	return wrap(log);
}
