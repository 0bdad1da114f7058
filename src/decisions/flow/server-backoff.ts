/**
 * Keeps requests away from backend servers that refuse them and say for how long. Load pattern: a backend server sheds load, and its
 * callers must not come back early, nor all at the same moment.
 */
import type {RandomSource} from '../random.js';

/** Share of the stated time by which an entry waits longer, drawn each time, so that entries do not return together. */
const RETURN_SPREAD = 0.2;
/** Longest such addition, in milliseconds. */
const MAX_RETURN_SPREAD_MILLIS = 500;

/** Backend servers that want no requests for a while. */
export type ServerBackoff = Readonly<{
	/** Records that the backend server wants no requests for `forMillis`; a longer time stated before stays in force. */
	note: (id: string, forMillis: number, nowMillis: number) => void;
	/** Time left until requests may be sent to the backend server again, in milliseconds; 0 if they may be sent now. */
	readLeftMillis: (id: string, nowMillis: number) => number;
	/** Removes backend servers that are no longer listed or have started again. */
	retain: (isListed: (id: string) => boolean) => void;
}>;

/** Creates a record without backend servers. */
export function createServerBackoff(random: RandomSource): ServerBackoff {
	const untilMillis = new Map<string, number>();
	return {
		note(id, forMillis, nowMillis) {
			const spreadMillis = Math.min(MAX_RETURN_SPREAD_MILLIS, forMillis * RETURN_SPREAD) * random();
			untilMillis.set(id, Math.max(untilMillis.get(id) ?? 0, nowMillis + forMillis + spreadMillis));
		},
		readLeftMillis: (id, nowMillis) => Math.max(0, (untilMillis.get(id) ?? 0) - nowMillis),
		retain(isListed) {
			for (const id of untilMillis.keys()) {
				if (!isListed(id)) {
					untilMillis.delete(id);
				}
			}
		},
	};
}
