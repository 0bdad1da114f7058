import type {FeedRow} from '../ports/table-feed.js';
import type {RoutingConfiguration} from './routing-configuration.js';

/** Parses a row written by the operators; undefined when it is not a valid configuration. */
export type ReadConfiguration = (row: FeedRow) => RoutingConfiguration | undefined;

/** Returns the newest configuration among `rows` and `known`. */
export function findNewestConfiguration(rows: readonly FeedRow[], read: ReadConfiguration, known?: RoutingConfiguration): RoutingConfiguration | undefined {
	let newest = known;
	for (const row of rows) {
		const cfg = read(row);
		if (cfg && cfg.version > (newest?.version ?? -1)) {
			newest = cfg;
		}
	}

	return newest;
}
