/** Notices crashes of backend servers that may have been caused by the content of a request. */
import type {Clock} from '../core/clock.js';
import type {RequestContent} from '../decisions/quarantine/crash-record.js';
import type {RequestQuarantine} from '../decisions/quarantine/request-quarantine.js';
import type {Log} from '../observability/log.js';
import type {BackendConnections} from './backend-connections.js';
import type {BackendServer} from './backend-server.js';
import type {BackendServers} from './backend-server-list.js';
import type {Call} from './call.js';
import type {GatewayMetrics} from './gateway-metrics.js';

/** Watches the backend servers that lose requests. */
export type CrashWatch = Readonly<{
	/** Checks whether the backend server that lost the call has crashed; resolves once the crash, if it is one, is taken into account. */
	noteLost: (server: BackendServer, call: Pick<Call, 'head'>, content: RequestContent, sentAtMillis: number) => Promise<void>;
}>;

type Deps = Readonly<{
	clock: Clock;
	log: Log;
	metrics: GatewayMetrics;
	connections: Pick<BackendConnections, 'isListening'>;
	quarantine: Pick<RequestQuarantine, 'noteLost'>;
	readServers: () => BackendServers;
}>;

/** Time for which a crash that was found holds for other requests that the backend server lost, in milliseconds; it may be started again after that. */
const CHECK_LIFETIME_MILLIS = 500;

type Check = Readonly<{atMillis: number; incarnation: number; hasCrashed: Promise<boolean>}>;

/** Creates a watch that has seen no crash. */
export function createCrashWatch({clock, log, metrics, connections, quarantine, readServers}: Deps): CrashWatch {
	const checks = new Map<string, Check>();

	async function check(server: BackendServer): Promise<boolean> {
		const isListening = await connections.isListening(server.address);
		if (!isListening) {
			metrics.crashes.inc();
			log.info('backend server crashed', {server: server.id, startedAt: server.incarnation, address: server.address});
		}

		return !isListening;
	}

	/** Connects once for all requests that a backend server lost at about the same time. */
	async function hasCrashed(server: BackendServer): Promise<boolean> {
		const nowMillis = clock.monotonicMillis();
		for (const [id, {atMillis}] of checks) {
			if (nowMillis - atMillis >= CHECK_LIFETIME_MILLIS) {
				checks.delete(id);
			}
		}

		const known = checks.get(server.id);
		if (known?.incarnation === server.incarnation) {
			return known.hasCrashed;
		}

		const started: Check = {atMillis: nowMillis, incarnation: server.incarnation, hasCrashed: check(server)};
		checks.set(server.id, started);
		const hasEnded = await started.hasCrashed;
		if (!hasEnded && checks.get(server.id) === started) {
			// It may crash at any moment.
			checks.delete(server.id);
		}

		return hasEnded;
	}

	return {
		async noteLost(server, {head}, content, sentAtMillis) {
			const listed = readServers().get(server.id);
			// One that is leaving ends as announced.
			const mayHaveCrashed = listed?.incarnation === server.incarnation && listed.state === 'ready';
			if (head.attemptId === undefined || !mayHaveCrashed || !await hasCrashed(server)) {
				return;
			}

			quarantine.noteLost({server: server.id, incarnation: server.incarnation}, {...content, attemptId: head.attemptId, sentAtMillis});
			log.info('request lost in a crash', {
				request: head.attemptId, server: server.id, startedAt: server.incarnation, promptParts: content.parts.join(' '), fingerprint: content.fingerprint,
			});
		},
	};
}
