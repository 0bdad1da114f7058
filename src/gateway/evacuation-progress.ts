/** Follows what still runs in evacuated failure domains, and closes the connections that become idle there. */
import {sum} from '../decisions/sum.js';
import type {BackendConnections} from './backend-connections.js';
import type {BackendServer} from './backend-server.js';
import type {BackendServers} from './backend-server-list.js';
import type {Evacuations} from './evacuations.js';

/** An evacuated failure domain and the requests of this process that its backend servers still run. */
export type DomainEvacuation = Readonly<{failureDomain: string; inFlight: number}>;

/** What still runs in evacuated failure domains. */
export type EvacuationProgress = Readonly<{
	list: () => readonly DomainEvacuation[];
	/** Requests of a service in flight in evacuated failure domains. */
	countInFlight: (service: string) => number;
	/** Closes the idle connections to failure domains that have just been evacuated. */
	noteChange: (evacuated: readonly string[]) => void;
	/** Closes the connection of an attempt that has ended, if the failure domain was evacuated while it ran. */
	noteAttemptEnd: (server: Pick<BackendServer, 'address' | 'failureDomain'>) => void;
}>;

type Deps = Readonly<{
	evacuations: Pick<Evacuations, 'isEvacuated' | 'list'>;
	readServers: () => BackendServers;
	/** Requests of this process in flight at a backend server. */
	countInFlight: (server: string) => number;
	connections: Pick<BackendConnections, 'closeIdleConnections'>;
	/** Called when the list may have changed. */
	onProgress: (evacuations: readonly DomainEvacuation[]) => void;
}>;

/** Creates the view of one process. */
export function createEvacuationProgress({evacuations, readServers, countInFlight, connections, onProgress}: Deps): EvacuationProgress {
	const countWhere = (isCounted: (server: BackendServer) => boolean) =>
		sum([...readServers().values()].filter(server => isCounted(server)).map(({id}) => countInFlight(id)));
	const list = () => evacuations.list().map(failureDomain => ({failureDomain, inFlight: countWhere(server => server.failureDomain === failureDomain)}));

	return {
		list,
		countInFlight: service => evacuations.list().length === 0
			? 0
			: countWhere(server => server.service === service && evacuations.isEvacuated(server.failureDomain)),
		noteChange(evacuated) {
			for (const {address, failureDomain} of readServers().values()) {
				if (evacuated.includes(failureDomain)) {
					connections.closeIdleConnections(address);
				}
			}

			onProgress(list());
		},
		noteAttemptEnd({address, failureDomain}) {
			if (evacuations.isEvacuated(failureDomain)) {
				connections.closeIdleConnections(address);
				onProgress(list());
			}
		},
	};
}
