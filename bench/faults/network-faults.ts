import {pickOne} from '../../src/decisions/random.js';
import type {FaultKind} from './fault.js';

/** Faults of the connections between the processes. */
export const networkFaults: readonly FaultKind[] = [
	{
		name: 'silent_links',
		async inject({system, random}) {
			const relay = pickOne(system.relays, random);
			relay?.silenceOpen();
			return {
				async heal() {
					// Nothing to undo: silenced connections never carry data again, and new ones work.
				},
			};
		},
	},
	{
		name: 'cut_links',
		async inject({system, random}) {
			const relay = pickOne(system.relays, random);
			relay?.cut();
			return {
				async heal() {
					relay?.heal();
				},
			};
		},
	},
	{
		name: 'silent_engine_connections',
		async inject({system, random}) {
			const engine = pickOne(system.engines, random);
			if (engine?.pid() !== undefined) {
				await engine.setFaults({silenceOpenConnections: true});
			}

			return {
				async heal() {
					// Nothing to undo: silenced connections get no further response, and new ones work.
				},
			};
		},
	},
];
