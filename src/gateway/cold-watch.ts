/** Notices when engines become cold or warm. */
import type {Clock} from '../core/clock.js';
import type {ColdEngines} from '../decisions/rate-limit/cold-engines.js';
import type {Log} from '../observability/log.js';
import type {GatewayMetrics} from './gateway-metrics.js';

/** Largest delay until a change by the passage of time is noticed, in milliseconds; requests are limited without it. */
const MAX_CHECK_INTERVAL_MILLIS = 250;

export type ColdWatch = Readonly<{
	/** Looks for changes; called when the list of engines or the configuration has changed. */
	check: () => void;
}>;

type Deps = Readonly<{
	clock: Clock;
	log: Log;
	metrics: Pick<GatewayMetrics, 'coldServers'>;
	signal: AbortSignal;
	engines: Pick<ColdEngines, 'list' | 'readLeftMillis' | 'readRate'>;
	/** Called after a change. */
	onChange: () => void;
}>;

/** Creates a watch that knows of no cold engine. */
export function createColdWatch({clock, log, metrics, signal, engines, onChange}: Deps): ColdWatch {
	let cold: readonly string[] = [];
	let isWaiting = false;

	function update(): void {
		const before = cold;
		cold = engines.list();
		const added = cold.filter(id => !before.includes(id));
		const removed = before.filter(id => !cold.includes(id));
		for (const id of added) {
			log.info('engine cold', {server: id, forMillis: Math.round(engines.readLeftMillis(id)), requestsPerSecond: (engines.readRate(id)?.requestsPerMilli ?? 0) * 1000});
		}

		for (const id of removed) {
			log.info('engine warm', {server: id});
		}

		if (added.length > 0 || removed.length > 0) {
			metrics.coldServers.set(cold.length);
			onChange();
		}
	}

	async function waitForEnd(): Promise<void> {
		isWaiting = true;
		/* eslint-disable no-await-in-loop -- Checks are sequential. */
		while (cold.length > 0 && !signal.aborted) {
			await clock.sleep(Math.min(MAX_CHECK_INTERVAL_MILLIS, ...cold.map(id => engines.readLeftMillis(id))), signal);
			update();
		}
		/* eslint-enable no-await-in-loop */

		isWaiting = false;
	}

	return {
		check() {
			update();
			if (cold.length > 0 && !isWaiting) {
				void waitForEnd();
			}
		},
	};
}
