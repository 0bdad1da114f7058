/** Graceful shutdown of an entry. */
import type {InFlight} from '../attempts/in-flight.js';
import type {AuditRecorder} from '../audit/audit-record.js';
import type {Clock} from '../core/clock.js';
import type {InstanceId, RequestId} from '../core/ids.js';
import type {AddressBook} from './address-book.js';
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
	isLeaving: () => boolean;
	/** Whether new work is refused. */
	isRefusing: () => boolean;
	/** Starts the drain; further calls return the result of the same drain. */
	run: () => Promise<DrainReport>;
}>;

/** Dependencies of a drain. */
export type DrainDeps = Readonly<{
	clock: Clock;
	audit: AuditRecorder;
	instanceId: InstanceId;
	book: AddressBook;
	peers: EntryPeers;
	inFlight: InFlight;
	addressLifetimeMillis: number;
	/** Longest wait for requests in flight, in milliseconds. */
	drainMillis: number;
}>;

/** Creates a drain that has not begun. */
export function createDrain(deps: DrainDeps): Drain {
	const {clock, audit, instanceId, book, peers, inFlight} = deps;
	let state: 'serving' | 'leaving' | 'refusing' = 'serving';
	let running: Promise<DrainReport> | undefined;

	async function run(): Promise<DrainReport> {
		state = 'leaving';
		book.leave();
		audit.append({
			kind: 'leaving', instanceId, leaving: true, cause: 'shutdown',
		}, 'may_drop');
		audit.append({kind: 'drain_started', instanceId, inFlight: inFlight.size()}, 'may_drop');
		await peers.announceLeaving();
		// Another entry may have assigned this entry's address until it answered the announcement.
		const expiresAtMillis = Math.max(book.freeAtMillis(), clock.monotonicMillis() + deps.addressLifetimeMillis);
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
		await clock.sleep(deps.drainMillis, empty.signal);
	}

	return {
		isLeaving: () => state !== 'serving',
		isRefusing: () => state === 'refusing',
		async run() {
			running ??= run();
			return running;
		},
	};
}
