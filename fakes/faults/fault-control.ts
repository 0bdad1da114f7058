import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createSnapshotStore} from '../../src/core/snapshot-store.js';
import type {Teardown} from '../../src/core/teardown.js';
import {NO_FAULTS, type FaultChange, type FaultSwitches} from './fault-switches.js';

/** Seed of the draws against `replyLostShare`. */
const DRAW_SEED = 1;

/** What is to happen to one request. */
export type FaultVerdict = 'pass' | 'outage' | 'silent' | 'reply_lost';

/** The fault switches of one stand-in. */
export type FaultControl = {
	readonly read: () => FaultSwitches;
	readonly set: (change: FaultChange) => void;
	readonly reset: () => void;
	/** Decides about one request; a write uses up one of `replyLostNext`. */
	readonly judge: (isWrite: boolean) => FaultVerdict;
	/** Resolves at once unless `freeze` is on, else when it is off again. */
	readonly waitWhileFrozen: () => Promise<void>;
	/** Calls `listener` whenever the open connections are to go silent. */
	readonly registerSilencer: (listener: () => void) => Teardown;
};

/** Creates the switches of one stand-in, with no fault set. */
export function createFaultControl(): FaultControl {
	const switches = createSnapshotStore<FaultSwitches>(NO_FAULTS);
	const silencers = new Set<() => void>();
	const draws = xoroshiro128plus(DRAW_SEED);

	function takesReplyLoss(): boolean {
		const {replyLostNext, replyLostShare} = switches.read();
		if (replyLostNext > 0) {
			switches.update(current => ({...current, replyLostNext: replyLostNext - 1}));
			return true;
		}

		return replyLostShare > 0 && uniformFloat64(draws) < replyLostShare;
	}

	return {
		read: switches.read,
		set({silenceOpenConnections, ...change}) {
			switches.update(current => ({...current, ...change}));
			if (silenceOpenConnections) {
				for (const silencer of silencers) {
					silencer();
				}
			}
		},
		reset() {
			switches.update(() => NO_FAULTS);
		},
		judge(isWrite) {
			const {outage, silent} = switches.read();
			if (silent) {
				return 'silent';
			}

			if (outage) {
				return 'outage';
			}

			return isWrite && takesReplyLoss() ? 'reply_lost' : 'pass';
		},
		async waitWhileFrozen() {
			if (!switches.read().freeze) {
				return;
			}

			await new Promise<void>(resolve => {
				const stop = switches.registerListener(current => {
					if (!current.freeze) {
						stop();
						resolve();
					}
				});
			});
		},
		registerSilencer(listener) {
			silencers.add(listener);
			return () => {
				silencers.delete(listener);
			};
		},
	};
}
