import type {LoadReport} from '../wire/generated/link.js';
import type {AgentParts} from './agent-parts.js';

/** Load report of a heartbeat, and the cursor for the next report on the same link. */
export type LoadReportWithCursor = Readonly<{report: LoadReport; cursor: number}>;

/** Creates a report of the current load. `cursor` is that of the link's previous report, 0 for the first. */
export function createLoadReport(parts: AgentParts, sequence: number, cursor: number): LoadReportWithCursor {
	const load = parts.loadWatch.read();
	const now = parts.ctx.clock.monotonicMillis();
	const page = parts.loadWatch.cacheEvents.readAfter(cursor);
	return {
		cursor: page.cursor,
		report: {
			sequence,
			inFlight: parts.inFlight.size(),
			queued: load?.queued ?? 0,
			ageMillis: load ? Math.round(load.ageMillis + now - load.readAtMillis) : 0,
			stepMillis: load?.stepMillis ?? 0,
			tokensPerSecond: load?.tokensPerSecond ?? 0,
			cacheEvents: page.events.map(({prefixDigest, evicted}) => ({prefixDigest, evicted})),
			cacheGap: page.hasGap,
		},
	};
}
