/**
 * Distinguishes a single stalled backend server or connection from a stall of the whole service. A single stalled one is given
 * up; when all of a service stall, like the ranks of a halted group, further attempts would only add to the load.
 */
import {RECENT_PROGRESS_MILLIS} from './flow-constants.js';

/** Tracks when the backend servers of each service last sent any data. */
export type ProgressTracker = Readonly<{
	note: (service: string, server: string, nowMillis: number) => void;
	/** Whether another backend server of the service has sent data recently. */
	hasOtherProgress: (service: string, server: string, nowMillis: number) => boolean;
	/** Removes backend servers that are no longer listed. */
	retain: (isListed: (server: string) => boolean) => void;
}>;

/** Creates a tracker without backend servers. */
export function createProgressTracker(): ProgressTracker {
	const progressByService = new Map<string, Map<string, number>>();

	return {
		note(service, server, nowMillis) {
			const progressAtMillis = progressByService.get(service) ?? new Map<string, number>();
			progressByService.set(service, progressAtMillis.set(server, nowMillis));
		},
		hasOtherProgress(service, server, nowMillis) {
			for (const [other, atMillis] of progressByService.get(service) ?? []) {
				if (other !== server && nowMillis - atMillis < RECENT_PROGRESS_MILLIS) {
					return true;
				}
			}

			return false;
		},
		retain(isListed) {
			for (const progressAtMillis of progressByService.values()) {
				for (const server of progressAtMillis.keys()) {
					if (!isListed(server)) {
						progressAtMillis.delete(server);
					}
				}
			}
		},
	};
}
