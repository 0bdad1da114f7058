import type {FeedRow} from '../ports/table-feed.js';
import type {RoutingConfiguration} from './routing-configuration.js';

/** Reads a row of the operators; undefined when it is no configuration. */
export type ReadConfiguration = (row: FeedRow) => RoutingConfiguration | undefined;

/** The newest of the configurations in these rows and the one known before. */
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
