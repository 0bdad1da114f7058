/** Entries of one process with a store in memory and datagrams without loss. */
import {setImmediate as nextTurn} from 'node:timers/promises';
import {createManualClock, type ManualClock} from '../../core/manual-clock.js';
import {fail, succeed, type Result} from '../../core/result.js';
import type {Capacity} from '../../decisions/caller-routing/entry-weights.js';
import {createRequestQuarantine} from '../../decisions/quarantine/request-quarantine.js';
import {createStatedLimits} from '../../decisions/rate-limit/stated-limits.js';
import {createSeededRandom} from '../../decisions/random.js';
import {silentLog, type Log} from '../../observability/log.js';
import type {DatagramSocket} from '../../ports/datagram-socket.js';
import type {FeedRow, TableFeed} from '../../ports/table-feed.js';
import type {Row, TableError, TableStore} from '../../ports/table-store.js';
import {MemberDatagram} from '../../wire/generated/membership.js';
import {createCrashEvidence} from '../crash-evidence.js';
import {createEntryMembers} from '../entry-members.js';
import type {PermitPool} from '../permit-exchange.js';

/** Time within which a dead entry must no longer be listed, in milliseconds. */
export const DEAD_MILLIS = 4000;
/** Time for which a dead entry keeps its share, in milliseconds. */
export const SHARING_MILLIS = 10_000;
const STEP_MILLIS = 20;

function dropCapacities(bytes: Uint8Array): Uint8Array {
	const datagram = MemberDatagram.decode(bytes);
	return MemberDatagram.encode({
		...datagram, claims: datagram.claims.map(claim => ({...claim, cpuCores: undefined, linkMbps: undefined})),
	}).finish();
}

/** Rows of the store, and datagrams between sockets without loss. */
export function createWorld() {
	const clock: ManualClock = createManualClock();
	const rows = new Map<string, FeedRow>();
	const sockets = new Map<string, (bytes: Uint8Array, from: string) => void>();
	const cut = new Set<string>();
	/** Addresses of entries of a version that does not know capacities, and drops them from the claims that it passes on. */
	const withoutCapacities = new Set<string>();
	let version = 0;
	let isStoreDown = false;
	let onDatagram: (size: number) => void = () => undefined;

	const feed: TableFeed = {
		readAll: async () => isStoreDown ? fail({tag: 'unavailable', detail: 'status 503'}) : succeed({rows: [...rows.values()], version, storeMillis: 0}),
		readChanges: async () => fail({tag: 'unavailable', detail: 'not used'}),
	};
	const table: TableStore = {
		read: async () => succeed(undefined),
		list: async () => succeed([]),
		async transact({writes, conditions}): Promise<Result<readonly Row[], TableError>> {
			if (isStoreDown) {
				return fail({tag: 'unavailable', detail: 'status 503'});
			}

			const [write] = writes;
			if (!write || conditions.some(({key, version: expected}) => rows.get(key)?.version !== expected)) {
				return fail({tag: 'conflict', rows: []});
			}

			version++;
			if (write.value === undefined) {
				rows.delete(write.key);
				return succeed([]);
			}

			rows.set(write.key, {key: write.key, text: JSON.stringify(write.value), version});
			return succeed([{...write, version}]);
		},
	};

	function openSocket(address: string): DatagramSocket {
		return {
			port: 1,
			send(to, bytes) {
				onDatagram(bytes.length);
				if (!cut.has(address) && !cut.has(to)) {
					sockets.get(to)?.(withoutCapacities.has(address) ? dropCapacities(bytes) : bytes, address);
				}
			},
			registerListener(listener) {
				sockets.set(address, listener);
				return () => {
					sockets.delete(address);
				};
			},
		};
	}

	function start(id: string, log: Log = silentLog, capacity: Capacity = {}, permitPools: ReadonlyMap<string, PermitPool> = new Map()) {
		const stop = new AbortController();
		let changes = 0;
		const quarantine = createRequestQuarantine({clock, onFound: () => undefined, onReleased: () => undefined});
		const limits = createStatedLimits({clock, readIncarnation: () => 1});
		const members = createEntryMembers({
			limits,
			listPermitPools: () => permitPools,
			evidence: createCrashEvidence(quarantine, clock),
			clock,
			log,
			random: createSeededRandom(id.length + version),
			table,
			feed,
			socket: openSocket(`${id}:8`),
			store: {
				describe: () => ({tables: []}), merge() {
					// The store is not observed here.
				},
			},
			self: {
				id, incarnation: 'x', callerAddress: `${id}:80`, failureDomain: 'a', gossipAddress: `${id}:8`, statusAddress: `${id}:9`, ...capacity,
			},
			deadEntryMillis: DEAD_MILLIS,
			sharingTimeoutMillis: SHARING_MILLIS,
			onChange() {
				changes++;
			},
		});
		const running = members.run(stop.signal);
		return {
			...members, quarantine, limits, running, countChanges: () => changes, list: () => members.listReady().map(({id: listed}) => listed).toSorted(),
			kill() {
				cut.add(`${id}:8`);
				stop.abort();
			},
		};
	}

	async function run(millis: number): Promise<void> {
		for (let i = 0; i < millis / STEP_MILLIS; i++) {
			clock.advance(STEP_MILLIS);
			// eslint-disable-next-line no-await-in-loop -- Time advances in small steps.
			await nextTurn();
		}
	}

	return {
		clock, start, run, rows, cut, withoutCapacities, watchDatagrams(listener: (size: number) => void) {
			onDatagram = listener;
		},
		setStoreDown(isDown: boolean) {
			isStoreDown = isDown;
		},
	};
}
