/**
 * Keeps requests away from backend servers that refuse them and say for how long. Load pattern: a backend server sheds load, and its
 * callers must not come back early, nor all at the same moment.
 */
import type {RandomSource} from '../random.js';

/** Share of the stated time by which an entry waits longer, drawn each time, so that entries do not return together. */
const RETURN_SPREAD = 0.2;
/** Longest such addition, in milliseconds. */
const MAX_RETURN_SPREAD_MILLIS = 500;

/** Time for which the list of backend servers may be behind a restart, in milliseconds. */
const MAX_LIST_LAG_MILLIS = 5000;

/** A request of a backend server to get nothing for a while. */
export type PauseRequest = Readonly<{
	server: string;
	/** Start time of the backend server as listed, in milliseconds since 1970. */
	incarnation: number;
	forMillis: number;
}>;

/** Backend servers that want no requests for a while. */
export type ServerBackoff = Readonly<{
	/** Records that the backend server wants no requests; a longer time stated before stays in force. */
	note: (pause: PauseRequest, nowMillis: number) => void;
	/** Time left until requests may be sent to the backend server again, in milliseconds; 0 if they may be sent now. */
	readLeftMillis: (id: string, nowMillis: number) => number;
	/** Removes what has ended, and the pauses of backend servers that have started again; one that is not listed may be back before its pause ends. */
	update: (readIncarnation: (id: string) => number | undefined, nowMillis: number) => void;
}>;

type Pause = Readonly<{incarnation: number; statedAtMillis: number; untilMillis: number}>;

/** Creates a record without backend servers. */
export function createServerBackoff(random: RandomSource): ServerBackoff {
	const pauses = new Map<string, Pause>();
	return {
		note({server, incarnation, forMillis}, nowMillis) {
			const spreadMillis = Math.min(MAX_RETURN_SPREAD_MILLIS, forMillis * RETURN_SPREAD) * random();
			const untilMillis = Math.max(pauses.get(server)?.untilMillis ?? 0, nowMillis + forMillis + spreadMillis);
			pauses.set(server, {incarnation, statedAtMillis: nowMillis, untilMillis});
		},
		readLeftMillis: (id, nowMillis) => Math.max(0, (pauses.get(id)?.untilMillis ?? 0) - nowMillis),
		update(readIncarnation, nowMillis) {
			for (const [id, pause] of pauses) {
				const incarnation = readIncarnation(id) ?? pause.incarnation;
				if (pause.untilMillis <= nowMillis) {
					pauses.delete(id);
				} else if (incarnation !== pause.incarnation) {
					if (nowMillis - pause.statedAtMillis < MAX_LIST_LAG_MILLIS) {
						// It may have been the new incarnation that asked.
						pauses.set(id, {...pause, incarnation});
					} else {
						pauses.delete(id);
					}
				}
			}
		},
	};
}
