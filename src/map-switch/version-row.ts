/**
 * Allocates expert map versions in blocks, using one row per group in the table store, so that a switch waits for the store only once in
 * a while and an outage of the store does not stop the switches.
 */
import {z} from 'zod';
import type {Log} from '../observability/log.js';
import type {Row, TableStore} from '../ports/table-store.js';
import {
	MIN_SPARE_PROPOSALS, PROPOSALS_PER_BLOCK, STEP_REMAINDERS, VERSIONS_PER_PROPOSAL,
} from './map-switch-constants.js';
import type {SwitchDeps} from './switch-map.js';

/** Table with one row per group. */
export const MAP_VERSION_TABLE = 'map_versions';

const rowSchema = z.object({
	owner: z.string(),
	/** Remainder of the passes that the owner uses; the next owner uses another one. */
	stepRemainder: z.number().int().nonnegative(),
});

type VersionSource = Pick<SwitchDeps, 'takeVersion' | 'chooseStep'>;

/** Versions that one write of the row allocates, and the remainder of the passes that go with them. */
type Block = Readonly<{firstVersion: number; stepRemainder: number}>;

/**
 * Creates the version source of one proposer. The versions of a block follow from the row version of its write, which is unique. Successive
 * proposers choose passes with different remainders, and a proposer chooses each pass once, so no two proposals name the same pass.
 */
export function createVersionSource(table: TableStore, log: Log, group: string, owner: string): VersionSource {
	let row: Row | undefined;
	let block: Block | undefined;
	let used = 0;
	let refilling: Promise<void> | undefined;
	let lastStep: Readonly<{epoch: number; step: number}> = {epoch: -1, step: -1};

	async function readRow(): Promise<boolean> {
		const found = await table.read(MAP_VERSION_TABLE, group);
		if (!found.ok) {
			log.warn('map version could not be read', {group, error: found.error.tag});
			return false;
		}

		row = found.value;
		return true;
	}

	function isOwn(written: Row | undefined): boolean {
		const parsed = rowSchema.safeParse(written?.value);
		return parsed.success && parsed.data.owner === owner;
	}

	/** Remainder of the passes of this proposer: its own, if it wrote the row, or else the one after that of the last owner. */
	function chooseRemainder(): number {
		const parsed = rowSchema.safeParse(row?.value);
		if (!parsed.success) {
			return 0;
		}

		return isOwn(row) ? parsed.data.stepRemainder : (parsed.data.stepRemainder + 1) % STEP_REMAINDERS;
	}

	/** Writes the row for a further block; without an answer of the store, the current block stays in use. */
	async function takeBlock(): Promise<void> {
		if (!row && !await readRow()) {
			return;
		}

		const stepRemainder = chooseRemainder();
		const written = await table.transact({
			conditions: [{table: MAP_VERSION_TABLE, key: group, version: row?.version ?? 0}],
			writes: [{table: MAP_VERSION_TABLE, key: group, value: {owner, stepRemainder}}],
		});
		row = written.ok ? written.value[0] : undefined;
		if (!written.ok) {
			log.info('map version could not be written', {group, error: written.error.tag});
			// If another proposer has written the row, its passes may have the remainder of this one. A write of this one may take effect late.
			block = written.error.tag === 'conflict' && !isOwn(written.error.rows[0]) ? undefined : block;
		} else if (row) {
			block = {firstVersion: row.version * PROPOSALS_PER_BLOCK * VERSIONS_PER_PROPOSAL, stepRemainder};
			used = 0;
		}
	}

	async function refill(): Promise<void> {
		refilling ??= takeBlock().finally(() => {
			refilling = undefined;
		});
		return refilling;
	}

	return {
		async takeVersion() {
			if (!block || used >= PROPOSALS_PER_BLOCK) {
				await refill();
			}

			if (!block || used >= PROPOSALS_PER_BLOCK) {
				return undefined;
			}

			const version = block.firstVersion + (used * VERSIONS_PER_PROPOSAL);
			used++;
			if (PROPOSALS_PER_BLOCK - used < MIN_SPARE_PROPOSALS) {
				void refill();
			}

			return version;
		},
		chooseStep(epoch, earliestStep) {
			if (!block) {
				return undefined;
			}

			const firstStep = lastStep.epoch === epoch ? Math.max(earliestStep, lastStep.step + 1) : earliestStep;
			const step = firstStep + ((((block.stepRemainder - firstStep) % STEP_REMAINDERS) + STEP_REMAINDERS) % STEP_REMAINDERS);
			lastStep = {epoch, step};
			return step;
		},
	};
}
