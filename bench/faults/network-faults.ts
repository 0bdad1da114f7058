import type {FaultKind} from './fault.js';

/** Faults between the processes. */
export const networkFaults: readonly FaultKind[] = [
	{
		name: 'silent_links',
		async inject({system, random}) {
			const relay = system.relays[Math.floor(random() * system.relays.length)];
			relay?.silenceOpen();
			return {
				async heal() {
					// Silent connections stay so for good; new ones work.
				},
			};
		},
	},
	{
		name: 'cut_links',
		async inject({system, random}) {
			const relay = system.relays[Math.floor(random() * system.relays.length)];
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
			const engine = system.engines[Math.floor(random() * system.engines.length)];
			if (engine?.pid() !== undefined) {
				await engine.setFaults({silenceOpenConnections: true});
			}

			return {
				async heal() {
					// Silent connections stay so for good; new ones work.
				},
			};
		},
	},
];
