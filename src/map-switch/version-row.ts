/** Versions of expert maps and the passes that they name, from one row a group in the table store. */
import {z} from 'zod';
import type {Log} from '../observability/log.js';
import type {Row, TableStore} from '../ports/table-store.js';
import {VERSIONS_PER_PROPOSAL} from './map-switch-constants.js';
import type {SwitchDeps} from './switch-map.js';

/** Table of the rows, one a group. */
export const MAP_VERSION_TABLE = 'map_versions';

const rowSchema = z.object({
	/** Epoch of the group in which the pass below was named. */
	epoch: z.number().int(),
	/** Last pass that a proposal named. */
	step: z.number().int(),
	owner: z.string(),
});

type VersionSource = Pick<SwitchDeps, 'takeVersion' | 'reserveStep'>;

/**
 * Creates the source of one proposer. The version of a proposal is that of the row's write, which no other write shares. A
 * pass is reserved by a conditional write on it, so that proposals of one epoch name passes in growing order.
 */
export function createVersionSource(table: TableStore, log: Log, group: string, owner: string): VersionSource {
	let row: Row | undefined;

	async function readRow(): Promise<boolean> {
		const found = await table.read(MAP_VERSION_TABLE, group);
		if (!found.ok) {
			log.warn('map version could not be read', {group, error: found.error.tag});
			return false;
		}

		row = found.value;
		return true;
	}

	function readNamed(): Readonly<{epoch: number; step: number}> {
		const parsed = rowSchema.safeParse(row?.value);
		return parsed.success ? parsed.data : {epoch: -1, step: -1};
	}

	async function write(value: Readonly<{epoch: number; step: number}>): Promise<boolean> {
		const written = await table.transact({
			conditions: [{table: MAP_VERSION_TABLE, key: group, version: row?.version ?? 0}],
			writes: [{table: MAP_VERSION_TABLE, key: group, value: {...value, owner}}],
		});
		if (!written.ok) {
			log.info('map version could not be written', {group, error: written.error.tag});
			row = undefined;
			return false;
		}

		row = written.value[0];
		return row !== undefined;
	}

	return {
		async takeVersion() {
			if (!row && !await readRow()) {
				return undefined;
			}

			return await write(readNamed()) ? (row?.version ?? 0) * VERSIONS_PER_PROPOSAL : undefined;
		},
		async reserveStep(epoch, step) {
			if (!row) {
				return false;
			}

			const named = readNamed();
			if (named.epoch > epoch || (named.epoch === epoch && named.step >= step)) {
				log.info('step already reserved', {
					group, epoch, step, named: named.step,
				});
				return false;
			}

			return write({epoch, step});
		},
	};
}
