/** Allocates expert map versions and reserves passes, using one row per group in the table store. */
import {z} from 'zod';
import type {Log} from '../observability/log.js';
import type {Row, TableStore} from '../ports/table-store.js';
import {VERSIONS_PER_PROPOSAL} from './map-switch-constants.js';
import type {SwitchDeps} from './switch-map.js';

/** Table with one row per group. */
export const MAP_VERSION_TABLE = 'map_versions';

const rowSchema = z.object({
	/** Epoch of the group in which the pass below was reserved. */
	epoch: z.number().int(),
	/** Last pass reserved by a proposal. */
	step: z.number().int(),
	owner: z.string(),
});

type VersionSource = Pick<SwitchDeps, 'takeVersion' | 'reserveStep'>;

/**
 * Creates the version source of one proposer. The version of a proposal derives from the row version of its write, which is
 * unique. A pass is reserved by a write conditional on that row version, so that the passes reserved in one epoch increase.
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

	function readReserved(): Readonly<{epoch: number; step: number}> {
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

			return await write(readReserved()) ? (row?.version ?? 0) * VERSIONS_PER_PROPOSAL : undefined;
		},
		async reserveStep(epoch, step) {
			if (!row) {
				return false;
			}

			const reserved = readReserved();
			if (reserved.epoch > epoch || (reserved.epoch === epoch && reserved.step >= step)) {
				log.info('step already reserved', {
					group, epoch, step, named: reserved.step,
				});
				return false;
			}

			return write({epoch, step});
		},
	};
}
