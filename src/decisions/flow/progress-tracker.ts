/**
 * Answers backend servers and connections that fall silent while others work: one that is silent alone is asked no longer, but
 * when all of a service are silent, as the ranks of a group that stands still, asking again would only add to the load.
 */
import {RECENT_PROGRESS_MILLIS} from './flow-constants.js';

/** When the backend servers of each service last sent anything. */
export type ProgressTracker = Readonly<{
	note: (service: string, server: string, nowMillis: number) => void;
	/** Whether another backend server of the service sent something just now. */
	hasOtherProgress: (service: string, server: string, nowMillis: number) => boolean;
	/** Forgets backend servers that are not listed any more. */
	retain: (isListed: (server: string) => boolean) => void;
}>;

/** Creates a watch that has seen nothing. */
export function createProgressTracker(): ProgressTracker {
	const services = new Map<string, Map<string, number>>();

	return {
		note(service, server, nowMillis) {
			const seen = services.get(service) ?? new Map<string, number>();
			services.set(service, seen.set(server, nowMillis));
		},
		hasOtherProgress(service, server, nowMillis) {
			for (const [other, atMillis] of services.get(service) ?? []) {
				if (other !== server && nowMillis - atMillis < RECENT_PROGRESS_MILLIS) {
					return true;
				}
			}

			return false;
		},
		retain(isListed) {
			for (const seen of services.values()) {
				for (const server of seen.keys()) {
					if (!isListed(server)) {
						seen.delete(server);
					}
				}
			}
		},
	};
}
