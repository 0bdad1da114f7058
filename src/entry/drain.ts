/** Graceful shutdown of an entry. */
import type {InFlight} from '../attempts/in-flight.js';
import type {AuditRecorder} from '../audit/audit-record.js';
import type {Clock} from '../core/clock.js';
import type {InstanceId, RequestId} from '../core/ids.js';
import type {AddressBook} from './address-book.js';
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
	isLeaving: () => boolean;
	/** Whether new work is refused. */
	isRefusing: () => boolean;
	/** Runs the drain once; further calls wait for the same one. */
	run: () => Promise<DrainReport>;
}>;

/** What a drain needs. */
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
		// Another entry may have named this one until it answered the announcement.
		const freeAtMillis = Math.max(book.freeAtMillis(), clock.monotonicMillis() + deps.addressLifetimeMillis);
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
		await clock.sleep(deps.drainMillis, emptied.signal);
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
