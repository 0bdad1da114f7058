/** Spreads the limits that backend servers state among the entries. */
import type {Clock} from '../core/clock.js';
import type {Teardown} from '../core/teardown.js';
import type {StatedLimit, StatedLimits} from '../decisions/rate-limit/stated-limits.js';
import type {RandomSource} from '../decisions/random.js';
import type {MemberDatagram, ServerLimit} from '../wire/generated/membership.js';
import {GOSSIP_FANOUT, GOSSIP_PAUSE_MILLIS, GOSSIP_ROUNDS} from './membership-constants.js';

/** Exchange of limits with the other entries. */
export type LimitGossip = Readonly<{
	/** Hash of the limits in force. */
	readDigest: () => number;
	/** All that is known, in parts that each fit into a datagram. */
	describeAll: () => ReadonlyArray<readonly ServerLimit[]>;
	merge: (limits: readonly ServerLimit[]) => void;
	/** Passes each change on from now on, until the signal aborts or the returned function is called. */
	registerSpreading: (signal: AbortSignal) => Teardown;
}>;

type Deps = Readonly<{
	clock: Clock;
	random: RandomSource;
	limits: StatedLimits;
	/** Addresses of the live entries. */
	listAddresses: () => readonly string[];
	send: (address: string, limits: readonly ServerLimit[]) => void;
}>;

/** Limits in one datagram; with ids of 40 bytes it stays below the MTU of an Ethernet link. */
const LIMITS_PER_DATAGRAM = 16;

function split(limits: readonly StatedLimit[], nowMillis: number): ReadonlyArray<readonly ServerLimit[]> {
	const described = limits.map(({server, incarnation, requestsPerSecond, atMillis}): ServerLimit => ({
		server, incarnation, requestsPerSecond, ageMillis: Math.round(nowMillis - atMillis),
	}));
	return Array.from({length: Math.ceil(described.length / LIMITS_PER_DATAGRAM)}, (_, i) => described.slice(i * LIMITS_PER_DATAGRAM, (i + 1) * LIMITS_PER_DATAGRAM));
}

/** Connects the limits that an entry knows with those of the others. */
export function createLimitGossip({clock, random, limits, listAddresses, send}: Deps): LimitGossip {
	/** Rounds left in which a changed limit is passed on, by server. */
	const rounds = new Map<string, number>();
	let isSpreading = false;

	function drawAddresses(): readonly string[] {
		const left = [...listAddresses()];
		return Array.from({length: Math.min(GOSSIP_FANOUT, left.length)}, () => left.splice(Math.floor(random() * left.length), 1)).flat();
	}

	function gossip(): void {
		const changed = limits.list().filter(({server}) => rounds.has(server));
		const addresses = drawAddresses();
		for (const part of split(changed, clock.monotonicMillis())) {
			for (const address of addresses) {
				send(address, part);
			}
		}

		for (const [server, left] of rounds) {
			if (left > 1) {
				rounds.set(server, left - 1);
			} else {
				rounds.delete(server);
			}
		}
	}

	/** Passes on what has changed, until all rounds are done. */
	async function spread(signal: AbortSignal): Promise<void> {
		isSpreading = true;
		while (rounds.size > 0 && !signal.aborted) {
			// eslint-disable-next-line no-await-in-loop -- Rounds are sequential.
			await clock.sleep(GOSSIP_PAUSE_MILLIS, signal);
			gossip();
		}

		isSpreading = false;
	}

	return {
		readDigest: limits.readDigest,
		describeAll: () => split(limits.list(), clock.monotonicMillis()),
		merge(told) {
			const nowMillis = clock.monotonicMillis();
			limits.merge(told.map(({server, incarnation, ageMillis, requestsPerSecond}) => ({
				server, incarnation, requestsPerSecond, atMillis: nowMillis - ageMillis,
			})));
		},
		registerSpreading: signal => limits.registerListener(({server}) => {
			rounds.set(server, GOSSIP_ROUNDS);
			if (!isSpreading) {
				void spread(signal);
			}
		}),
	};
}
