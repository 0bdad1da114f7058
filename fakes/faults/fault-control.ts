import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createSnapshotStore} from '../../src/core/snapshot-store.js';
import type {Teardown} from '../../src/core/teardown.js';
import {NO_FAULTS, type FaultChange, type FaultSwitches} from './fault-switches.js';

/** Seed of the random numbers that are compared with `replyLostShare`. */
const REPLY_LOSS_SEED = 1;

/** How the faults affect one request. */
export type FaultDecision = 'pass' | 'outage' | 'silent' | 'reply_lost';

/** The fault switches of one stand-in. */
export type FaultControl = {
	readonly read: () => FaultSwitches;
	readonly set: (change: FaultChange) => void;
	readonly reset: () => void;
	/** Decides how the faults affect one request. A write whose reply is lost because of `replyLostNext` decrements it. */
	readonly decide: (isWrite: boolean) => FaultDecision;
	/** Resolves once `freeze` is off. */
	readonly waitWhileFrozen: () => Promise<void>;
	/** Calls `listener` on each `silenceOpenConnections`. */
	readonly registerSilenceListener: (listener: () => void) => Teardown;
};

/** Creates the fault switches of one stand-in, with no fault set. */
export function createFaultControl(): FaultControl {
	const switches = createSnapshotStore<FaultSwitches>(NO_FAULTS);
	const silenceListeners = new Set<() => void>();
	const generator = xoroshiro128plus(REPLY_LOSS_SEED);

	function consumeReplyLoss(): boolean {
		const {replyLostNext, replyLostShare} = switches.read();
		if (replyLostNext > 0) {
			switches.update(current => ({...current, replyLostNext: replyLostNext - 1}));
			return true;
		}

		return replyLostShare > 0 && uniformFloat64(generator) < replyLostShare;
	}

	return {
		read: switches.read,
		set({silenceOpenConnections, ...change}) {
			switches.update(current => ({...current, ...change}));
			if (silenceOpenConnections) {
				for (const notify of silenceListeners) {
					notify();
				}
			}
		},
		reset() {
			switches.update(() => NO_FAULTS);
		},
		decide(isWrite) {
			const {outage, silent} = switches.read();
			if (silent) {
				return 'silent';
			}

			if (outage) {
				return 'outage';
			}

			return isWrite && consumeReplyLoss() ? 'reply_lost' : 'pass';
		},
		async waitWhileFrozen() {
			if (!switches.read().freeze) {
				return;
			}

			await new Promise<void>(resolve => {
				const unsubscribe = switches.registerListener(current => {
					if (!current.freeze) {
						unsubscribe();
						resolve();
					}
				});
			});
		},
		registerSilenceListener(listener) {
			silenceListeners.add(listener);
			return () => {
				silenceListeners.delete(listener);
			};
		},
	};
}
