/** Holds the newest configuration known to this process. */
import type {TableListener} from '../feeds/follow-table.js';
import type {Log} from '../observability/log.js';
import type {FeedRow} from '../ports/table-feed.js';
import type {ReadConfiguration} from '../routing/newest-configuration.js';
import {createRouteTable, type RouteTable} from '../routing/route-table.js';
import type {RoutingConfiguration} from '../routing/routing-configuration.js';
import {STALE_CONFIGURATION_MILLIS} from './gateway-constants.js';

/** A configuration with its route index. */
export type IndexedConfiguration = Readonly<{cfg: RoutingConfiguration; routes: RouteTable}>;

/** Holder of the active configuration; it never reverts to an older version. */
export type ConfigurationInForce = Readonly<{
	read: () => IndexedConfiguration | undefined;
	/** Whether the store has answered recently, so that a newer version would be known. */
	isFresh: () => boolean;
	/** Time since the store last answered this entry, or another one that knows no more, in milliseconds. */
	ageMillis: () => number;
	listener: TableListener;
}>;

type Deps = Readonly<{
	log: Log;
	readContactAgeMillis: () => number;
	read: ReadConfiguration;
	onChange: (cfg: RoutingConfiguration) => void;
}>;

/** Creates a holder without a configuration. */
export function createConfigurationInForce({log, readContactAgeMillis, read, onChange}: Deps): ConfigurationInForce {
	let current: IndexedConfiguration | undefined;

	function applyRows(rows: readonly FeedRow[]): void {
		for (const row of rows) {
			const cfg = read(row);
			if (cfg && cfg.version > (current?.cfg.version ?? -1)) {
				log.info('configuration in force', {version: cfg.version, former: current?.cfg.version, routes: cfg.routes.length});
				current = {cfg, routes: createRouteTable(cfg)};
				onChange(cfg);
			}
		}
	}

	return {
		read: () => current,
		isFresh: () => readContactAgeMillis() < STALE_CONFIGURATION_MILLIS,
		ageMillis: readContactAgeMillis,
		listener: {onSnapshot: applyRows, onChanges: applyRows},
	};
}
