import type {LoadReport} from '../wire/generated/link.js';
import type {AgentParts} from './agent-parts.js';

/** A heartbeat's report and the cursor to pass in for the next one of the same link. */
export type LoadReportWithCursor = Readonly<{report: LoadReport; cursor: number}>;

/** Load as this agent knows it now; `cursor` is that of the link's report before, 0 for the first. */
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
