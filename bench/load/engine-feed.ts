import type {PrefixCacheEvent} from '../../src/decisions/routing/cached-prefix-estimate.js';
import type {RandomSource} from '../../src/decisions/random.js';
import type {EngineLoad, EngineModel} from './engine-model.js';
import type {EventLoop} from './event-loop.js';
import type {PrefixCacheChange} from './prefix-cache.js';

/** Time between two reports of an engine. */
const REPORT_INTERVAL_MILLIS = 1000;
/** Bounds of the age of a report when it comes in. */
const REPORT_LAG_MILLIS = {lowest: 1000, highest: 5000};
/** Share of cache events that are lost on their way to one entry. */
const LOST_EVENT_SHARE = 0.1;

/** A report as it comes in at one entry. */
export type DeliveredReport = Readonly<{load: EngineLoad; ageMillis: number; cacheNews: readonly PrefixCacheEvent[]}>;

type Measurement = Readonly<{atMillis: number; load: EngineLoad; changes: readonly PrefixCacheChange[]}>;

/** Loses some of the changes; a loss shows as a gap. */
function loseSome(changes: readonly PrefixCacheChange[], random: RandomSource): readonly PrefixCacheEvent[] {
	const kept = changes.filter(() => random() >= LOST_EVENT_SHARE);
	const news = kept.map<PrefixCacheEvent>(change => ({tag: change.evicted ? 'evicted' : 'cached', digest: change.digest}));
	return kept.length === changes.length ? news : [{tag: 'gap'}, ...news];
}

/** Reports of one engine: measured at even intervals and delivered late. */
export type EngineFeed = Readonly<{
	noteCacheChange: (change: PrefixCacheChange) => void;
	start: (engine: EngineModel, deliver: ReadonlyArray<(report: DeliveredReport) => void>) => void;
}>;

/** Creates the feed of one engine; its lag is drawn once. */
export function createEngineFeed(loop: EventLoop, random: RandomSource): EngineFeed {
	const lagMillis = REPORT_LAG_MILLIS.lowest + (random() * (REPORT_LAG_MILLIS.highest - REPORT_LAG_MILLIS.lowest));
	let changes: PrefixCacheChange[] = [];

	function deliverAll(measurement: Measurement, deliver: ReadonlyArray<(report: DeliveredReport) => void>): void {
		for (const deliverOne of deliver) {
			deliverOne({
				load: measurement.load,
				ageMillis: loop.nowMillis() - measurement.atMillis,
				cacheNews: loseSome(measurement.changes, random),
			});
		}
	}

	return {
		noteCacheChange(change) {
			changes.push(change);
		},
		start(engine, deliver) {
			const measure = () => {
				const measurement: Measurement = {atMillis: loop.nowMillis(), load: engine.readLoad(), changes};
				changes = [];
				loop.schedule(lagMillis, () => {
					deliverAll(measurement, deliver);
				});
				loop.schedule(REPORT_INTERVAL_MILLIS, measure);
			};

			loop.schedule(random() * REPORT_INTERVAL_MILLIS, measure);
		},
	};
}
