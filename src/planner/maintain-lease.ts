import type {ProcessContext} from '../daemon/process-context.js';
import type {Lease} from '../lease/lease.js';
import {isLeaseContender} from './lease-contenders.js';
import {LEASE_RENEWAL_MILLIS} from './planner-constants.js';
import type {GroupPlannerOptions} from './planner-options.js';

/** What keeping a lease needs; `signal` ends it. */
export type MaintainLeaseDeps = Readonly<{
	ctx: Pick<ProcessContext, 'clock' | 'log' | 'metrics' | 'instances'>;
	lease: Lease;
	signal: AbortSignal;
}>;

/** Holds the lease of a group, or tries to get it where this entry is a contender, until the signal aborts. */
export async function maintainLease({ctx, lease, signal}: MaintainLeaseDeps, options: GroupPlannerOptions): Promise<void> {
	const log = ctx.log.child({group: options.group});

	async function mayContend(): Promise<boolean> {
		if (lease.currentToken() !== undefined) {
			return true;
		}

		const list = await ctx.instances.list();
		return list.ok && isLeaseContender(list.value, options.group, options.instanceId);
	}

	async function keepOnce(): Promise<void> {
		const tokenBefore = lease.currentToken();
		const kept = await lease.renewOrAcquire();
		if (!kept.ok && kept.error.tag !== 'held') {
			ctx.metrics.platformErrors.inc({store: 'table', error: `lease_${kept.error.tag}`});
		}

		if (kept.ok && kept.value.fencingToken !== tokenBefore) {
			log.info('Acquired the lease of the group', {fencingToken: kept.value.fencingToken});
		}
	}

	while (!signal.aborted) {
		// eslint-disable-next-line no-await-in-loop
		if (await mayContend()) {
			// eslint-disable-next-line no-await-in-loop
			await keepOnce();
		}

		// eslint-disable-next-line no-await-in-loop
		await ctx.clock.sleep(LEASE_RENEWAL_MILLIS, signal);
	}
}
