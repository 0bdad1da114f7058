import type {Clock} from '../core/clock.js';
import type {Teardown} from '../core/teardown.js';
import type {Log} from '../observability/log.js';
import type {Metrics} from '../observability/metrics.js';
import type {TableStore} from '../ports/table-store.js';
import type {ConfigurationHolder} from './configuration-holder.js';
import {readStoredConfiguration} from './configuration-row.js';
import {DEFAULT_POLL_TIMING, pollDelayMillis, type PollTiming} from './poll-delay.js';

export type ConfigurationSyncDeps = Readonly<{
	/** Instrumented: counts its own failures in the metrics. */
	table: TableStore;
	holder: ConfigurationHolder;
	clock: Clock;
	log: Log;
	metrics: Pick<Metrics, 'configVersion' | 'platformErrors'>;
	/** Returns a number from 0 up to 1; adds jitter, so that the processes do not all poll at the same time. */
	random: () => number;
	timing?: PollTiming;
}>;

/** Reads the table once and offers the stored configuration to the holder; resolves to false when the read failed. */
async function pollOnce({
	table, holder, log, metrics,
}: ConfigurationSyncDeps): Promise<boolean> {
	const stored = await readStoredConfiguration(table);
	if (!stored.ok) {
		const {tag, detail} = stored.error;
		if (tag === 'ill_formed') {
			metrics.platformErrors.inc({store: 'table', error: tag});
		}

		log.warn('failed to read the configuration from the table', {error: tag, detail, version: holder.version()});
		return false;
	}

	const {configuration} = stored.value;
	if (configuration && holder.offer(configuration)) {
		log.info('configuration in force', {version: configuration.version, changeId: configuration.changeId});
	}

	if ((configuration?.version ?? 0) < holder.version()) {
		log.error('stored configuration is older than the one in force', {
			stored: configuration?.version ?? 0, inForce: holder.version(),
		});
	}

	metrics.configVersion.set(holder.version());
	return true;
}

async function pollUntilAborted(deps: ConfigurationSyncDeps, signal: AbortSignal): Promise<void> {
	const {clock, random, timing = DEFAULT_POLL_TIMING} = deps;
	let failures = 0;
	while (!signal.aborted) {
		// The polls of one process run one after the other.
		// eslint-disable-next-line no-await-in-loop
		failures = await pollOnce(deps) ? 0 : failures + 1;
		// eslint-disable-next-line no-await-in-loop
		await clock.sleep(pollDelayMillis(timing, failures, random()), signal);
	}
}

/** Starts polling the table for the configuration, until the teardown. */
export function registerConfigurationSync(deps: ConfigurationSyncDeps): Teardown {
	const controller = new AbortController();
	void pollUntilAborted(deps, controller.signal);
	return () => {
		controller.abort();
	};
}
