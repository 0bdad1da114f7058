import type {PrefixCacheEvent} from '../../src/decisions/routing/cached-prefix-estimate.js';
import type {RandomSource} from '../../src/decisions/random.js';
import type {EngineLoad, EngineModel} from './engine-model.js';
import type {EventLoop} from './event-loop.js';
import type {PrefixCacheChange} from './prefix-cache.js';

const REPORT_INTERVAL_MILLIS = 1000;
/** Bounds of the delivery delay of a report. */
const REPORT_LAG_MILLIS = {min: 1000, max: 5000};
/** Share of cache events lost in transit, drawn separately for each entry. */
const LOST_EVENT_SHARE = 0.1;

/** A load report as received by one entry. */
export type DeliveredReport = Readonly<{load: EngineLoad; ageMillis: number; cacheEvents: readonly PrefixCacheEvent[]}>;

type Measurement = Readonly<{atMillis: number; load: EngineLoad; changes: readonly PrefixCacheChange[]}>;

/** Drops a random share of the changes; a loss is reported as a leading gap event. */
function dropSomeEvents(changes: readonly PrefixCacheChange[], random: RandomSource): readonly PrefixCacheEvent[] {
	const keptChanges = changes.filter(() => random() >= LOST_EVENT_SHARE);
	const events = keptChanges.map<PrefixCacheEvent>(change => ({tag: change.evicted ? 'evicted' : 'cached', digest: change.digest}));
	return keptChanges.length === changes.length ? events : [{tag: 'gap'}, ...events];
}

/** Load reports of one engine, measured at regular intervals and delivered with a lag. */
export type EngineFeed = Readonly<{
	noteCacheChange: (change: PrefixCacheChange) => void;
	start: (engine: EngineModel, receivers: ReadonlyArray<(report: DeliveredReport) => void>) => void;
}>;

/** Creates the feed of one engine; its lag is drawn once and then constant. */
export function createEngineFeed(loop: EventLoop, random: RandomSource): EngineFeed {
	const lagMillis = REPORT_LAG_MILLIS.min + (random() * (REPORT_LAG_MILLIS.max - REPORT_LAG_MILLIS.min));
	let changes: PrefixCacheChange[] = [];

	function deliverAll(measurement: Measurement, receivers: ReadonlyArray<(report: DeliveredReport) => void>): void {
		for (const receive of receivers) {
			receive({
				load: measurement.load,
				ageMillis: loop.nowMillis() - measurement.atMillis,
				cacheEvents: dropSomeEvents(measurement.changes, random),
			});
		}
	}

	return {
		noteCacheChange(change) {
			changes.push(change);
		},
		start(engine, receivers) {
			const measure = () => {
				const measurement: Measurement = {atMillis: loop.nowMillis(), load: engine.readLoad(), changes};
				changes = [];
				loop.schedule(lagMillis, () => {
					deliverAll(measurement, receivers);
				});
				loop.schedule(REPORT_INTERVAL_MILLIS, measure);
			};

			loop.schedule(random() * REPORT_INTERVAL_MILLIS, measure);
		},
	};
}
