import {createSnapshotStore} from '../core/snapshot-store.js';
import type {ConfigVersion} from '../core/ids.js';
import type {Teardown} from '../core/teardown.js';
import type {Configuration} from './configuration.js';

/** Holds the configuration in force in this process. Its version never goes down. */
export type ConfigurationHolder = {
	/** Undefined until the first version is known. */
	readonly read: () => Configuration | undefined;
	/** 0 until the first version is known. */
	readonly version: () => ConfigVersion;
	/** Puts `configuration` in force if it is newer; returns whether it did. */
	readonly offer: (configuration: Configuration) => boolean;
	readonly registerListener: (listener: (configuration: Configuration) => void) => Teardown;
};

/** Creates an empty holder. */
export function createConfigurationHolder(): ConfigurationHolder {
	const store = createSnapshotStore<Configuration | undefined>(undefined);
	const version = () => store.read()?.version ?? 0;

	return {
		read: store.read,
		version,
		offer(configuration) {
			const before = version();
			store.update(current => configuration.version > before ? configuration : current);
			return version() > before;
		},
		registerListener: listener => store.registerListener(configuration => {
			if (configuration) {
				listener(configuration);
			}
		}),
	};
}
