/** Graceful shutdown of an entry. */
import type {InFlightAttempts} from '../attempts/in-flight-attempts.js';
import type {AuditRecorder} from '../audit/audit-record.js';
import type {Clock} from '../core/clock.js';
import type {InstanceId, RequestId} from '../core/ids.js';
import type {AddressDirectory} from './address-directory.js';
import type {EntryPeers} from './entry-peers.js';

/** How a drain went. */
export type DrainReport = Readonly<{
	/** Requests still in flight when the drain gave up waiting; 0 when it finished. */
	cutOff: number;
	/** Request that ended last; empty when there was none. */
	lastRequestId: RequestId;
}>;

/** The drain of one entry. */
export type Drain = Readonly<{
	/** Whether the drain has begun. */
	isDraining: () => boolean;
	/** Whether new work is refused. */
	isRefusingRequests: () => boolean;
	/** Runs the drain once; further calls wait for the same one. */
	run: () => Promise<DrainReport>;
}>;

/** What a drain needs. */
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
	const {clock, audit, instanceId, addressDirectory: book, peers, inFlight} = deps;
	let state: 'serving' | 'leaving' | 'refusing' = 'serving';
	let running: Promise<DrainReport> | undefined;

	async function run(): Promise<DrainReport> {
		state = 'leaving';
		book.excludeSelf();
		audit.append({
			kind: 'leaving', instanceId, leaving: true, cause: 'shutdown',
		}, 'may_drop');
		audit.append({kind: 'drain_started', instanceId, inFlight: inFlight.size()}, 'may_drop');
		await peers.announceDrain();
		// Another entry may have named this one until it answered the announcement.
		const freeAtMillis = Math.max(book.ownAddressExpiresAtMillis(), clock.monotonicMillis() + deps.addressLifetimeMillis);
		await clock.sleep(freeAtMillis - clock.monotonicMillis());

		state = 'refusing';
		await waitForRequests();
		const report = {cutOff: inFlight.size(), lastRequestId: inFlight.lastRequestId()};
		audit.append({kind: 'drain_ended', instanceId, ...report}, 'may_drop');
		return report;
	}

	async function waitForRequests(): Promise<void> {
		const emptied = new AbortController();
		void inFlight.waitUntilEmpty().then(() => {
			emptied.abort();
		});
		await clock.sleep(deps.drainTimeoutMillis, emptied.signal);
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
