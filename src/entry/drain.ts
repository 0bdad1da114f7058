/** Graceful shutdown of an entry. */
import type {InFlightAttempts} from '../attempts/in-flight-attempts.js';
import type {AuditRecorder} from '../audit/audit-record.js';
import type {Clock} from '../core/clock.js';
import type {InstanceId, RequestId} from '../core/ids.js';
import type {AddressDirectory} from './address-directory.js';
import type {EntryPeers} from './entry-peers.js';

/** Result of a drain. */
export type DrainReport = Readonly<{
	/** Requests still in flight when the drain timed out; 0 when all finished in time. */
	cutOff: number;
	/** Request that ended last; empty when there was none. */
	lastRequestId: RequestId;
}>;

export type Drain = Readonly<{
	/** Whether the drain has begun. */
	isDraining: () => boolean;
	/** Whether new work is refused. */
	isRefusingRequests: () => boolean;
	/** Starts the drain; further calls return the result of the same drain. */
	run: () => Promise<DrainReport>;
}>;

/** Dependencies of a drain. */
export type DrainDeps = Readonly<{
	clock: Clock;
	audit: AuditRecorder;
	instanceId: InstanceId;
	addressDirectory: AddressDirectory;
	peers: EntryPeers;
	inFlight: InFlightAttempts;
	addressLifetimeMillis: number;
	/** Longest wait for requests in flight, in milliseconds. */
	drainTimeoutMillis: number;
}>;

/** Creates a drain that has not begun. */
export function createDrain(deps: DrainDeps): Drain {
	const {clock, audit, instanceId, addressDirectory, peers, inFlight} = deps;
	let state: 'serving' | 'leaving' | 'refusing' = 'serving';
	let running: Promise<DrainReport> | undefined;

	async function run(): Promise<DrainReport> {
		state = 'leaving';
		addressDirectory.excludeSelf();
		audit.append({
			kind: 'leaving', instanceId, leaving: true, cause: 'shutdown',
		}, 'may_drop');
		audit.append({kind: 'drain_started', instanceId, inFlight: inFlight.size()}, 'may_drop');
		await peers.announceDrain();
		// Another entry may have assigned this entry's address until it answered the announcement.
		const expiresAtMillis = Math.max(addressDirectory.ownAddressExpiresAtMillis(), clock.monotonicMillis() + deps.addressLifetimeMillis);
		await clock.sleep(expiresAtMillis - clock.monotonicMillis());

		state = 'refusing';
		await waitForRequests();
		const report = {cutOff: inFlight.size(), lastRequestId: inFlight.lastRequestId()};
		audit.append({kind: 'drain_ended', instanceId, ...report}, 'may_drop');
		return report;
	}

	async function waitForRequests(): Promise<void> {
		const empty = new AbortController();
		void inFlight.waitUntilEmpty().then(() => {
			empty.abort();
		});
		await clock.sleep(deps.drainTimeoutMillis, empty.signal);
	}

	return {
		isDraining: () => state !== 'serving',
		isRefusingRequests: () => state === 'refusing',
		async run() {
			running ??= run();
			return running;
		},
	};
}
