/** A log that leaves out part of its debug lines under load. */
import type {Clock} from '../core/clock.js';
import type {Log, LogContext} from './log.js';

/** Debug lines that are written in a second at most. */
const DEBUG_LINES_PER_SECOND = 100;
const MILLIS_PER_SECOND = 1000;

/** Bounds the debug lines of `log`; the next one that is written says how many were left out. Other lines all pass. */
export function createSampledLog(log: Log, clock: Clock): Log {
	let saved = DEBUG_LINES_PER_SECOND;
	let atMillis = clock.monotonicMillis();
	let leftOut = 0;

	function hasRoom(): boolean {
		const nowMillis = clock.monotonicMillis();
		saved = Math.min(DEBUG_LINES_PER_SECOND, saved + (DEBUG_LINES_PER_SECOND * (nowMillis - atMillis) / MILLIS_PER_SECOND));
		atMillis = nowMillis;
		return saved >= 1;
	}

	function wrap(inner: Log): Log {
		return {
			...inner,
			debug(message: string, ctx: LogContext = {}) {
				if (!hasRoom()) {
					leftOut++;
					return;
				}

				saved--;
				inner.debug(message, leftOut > 0 ? {...ctx, leftOut} : ctx);
				leftOut = 0;
			},
			child: ctx => wrap(inner.child(ctx)),
		};
	}

	return wrap(log);
}
