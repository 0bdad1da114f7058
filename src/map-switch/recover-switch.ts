/**
 * Completes or aborts a map switch that its proposer left unfinished, so that all ranks run each forward pass on the same map.
 *
 * The switch is completed, and the hold released, only if all ranks are armed with the new map. It is aborted only if no rank can
 * become armed with the new map any more. A rank that has prepared a higher version can never be armed with a lower one. Such a
 * rank is the witness of the abort: ranks are disarmed only once there is one.
 *
 * The planner's rank may be unreachable together with the planner. It is armed last, after all other ranks were seen armed. So
 * as long as another rank can still become the witness, the planner's rank is not armed, and once there is a witness it never
 * will be.
 */
import type {Clock} from '../core/clock.js';
import type {Log} from '../observability/log.js';
import {fail} from '../core/result.js';
import type {
	GroupExperts, RankEngine, RankOrder, RankState,
} from '../ports/rank-engine.js';
import {
	getAnchorRank, isGroupState, hasAllRanks, filterRanks, readGroupStateOfReachable, readHeldStep, type GroupRanks, type GroupState, type GroupStateError,
} from './group-ranks.js';
import {
	ARM_POLL_INTERVAL_MILLIS, RECOVERY_ORDER_TIMEOUT_MILLIS, RECOVERY_POLL_INTERVAL_MILLIS, RECOVERY_READ_TIMEOUT_MILLIS, VERSIONS_PER_PROPOSAL,
} from './map-switch-constants.js';
import {executeOrderRound, type ExpectedEffect} from './order-round.js';
import {createQuietTimer} from './quiet-timer.js';
import {createSwitchTiming, type SwitchTiming} from './switch-timing.js';

/** Dependencies of the recovery of a switch. */
export type RecoveryDeps = Readonly<{
	ranks: GroupRanks;
	clock: Clock;
	log: Log;
	/** Experts of all ranks in the map in force, which has this version; undefined if they cannot be read. Without `withPlanner` the planner's rank is not read. */
	readExperts: (withPlanner: boolean, mapVersion: number) => Promise<GroupExperts | undefined>;
}>;

/** Dependencies of the steps of one recovery, and what its orders have taken. */
type RecoveryState = RecoveryDeps & Readonly<{timing: SwitchTiming}>;

/** Version that fences off a proposal; its content is always the active map. */
export function getFenceVersion(version: number): number {
	return version + 1;
}

/** Whether the version belongs to a proposal, as opposed to a fence. */
export function isProposalVersion(version: number): boolean {
	return version % VERSIONS_PER_PROPOSAL === 0;
}

/** Newest proposal version that any rank has prepared or is armed with. */
function findNewestProposalVersion({ranks}: GroupState): number | undefined {
	const versions = ranks
		.flatMap(({armed, preparedVersion}) => [armed?.version, preparedVersion])
		.filter((version): version is number => version !== undefined && isProposalVersion(version));
	return versions.length > 0 ? Math.max(...versions) : undefined;
}

/** Whether all ranks will switch to the version when the held pass begins. */
export function areAllArmed(state: GroupState, version: number, step: number): boolean {
	return hasAllRanks(state) && state.ranks.every(({armed}) => armed?.version === version && armed.step === step);
}

/** Whether all ranks are armed with the same version for the same pass and no hold is left. */
function isReleased({ranks}: GroupState): boolean {
	const armed = ranks[0]?.armed;
	return armed !== undefined && ranks.every(state =>
		state.heldStep === undefined && state.armed?.version === armed.version && state.armed.step === armed.step);
}

/** Whether a hold or armed ranks remain from an unfinished switch. */
export function hasUnfinishedSwitch(state: GroupState): boolean {
	return !isReleased(state) && state.ranks.some(rank => rank.heldStep !== undefined || rank.armed !== undefined);
}

/** Whether the rank can no longer be armed with this version or a lower one. */
function isFenced({armed, preparedVersion}: RankState, version: number): boolean {
	return armed === undefined && preparedVersion !== undefined && preparedVersion > version;
}

/** Sends an order to the named ranks; its effect shows when the state is read again. */
async function execute({ranks, clock, log, timing}: RecoveryState, named: readonly number[], order: RankOrder, expected: Pick<ExpectedEffect, 'epoch' | 'isDone'>): Promise<void> {
	const chosen = named.map(rank => ranks[rank]).filter(rank => rank !== undefined);
	if (chosen.length > 0) {
		await executeOrderRound({clock, log, timing}, chosen, order, {
			...expected, timeoutMillis: RECOVERY_ORDER_TIMEOUT_MILLIS, pollMillis: ARM_POLL_INTERVAL_MILLIS, outlastsRefusal: true,
		});
	}
}

async function release(deps: RecoveryState, {size, epoch}: GroupState, heldStep: number): Promise<void> {
	await execute(deps, [getAnchorRank(size)], {tag: 'go', step: heldStep}, {epoch, isDone: state => state.heldStep !== heldStep});
}

/** Fences the version off at one rank that is not armed; returns whether that rank shows it, so that nothing more needs to be read first. */
async function fenceWitness(deps: RecoveryState, state: GroupState, fence: Extract<RankOrder, {tag: 'prepare'}>): Promise<boolean> {
	const {epoch} = state;
	const [witness] = filterRanks(state, rank => rank.armed === undefined);
	if (witness === undefined) {
		return false;
	}

	deps.log.info('fencing a map switch off', {version: fence.version, epoch, witness});
	await execute(deps, [witness], fence, {epoch, isDone: ({preparedVersion}) => preparedVersion === fence.version});
	const shown = await deps.ranks[witness]?.readState();
	return shown?.ok === true && shown.value.group.epoch === epoch && shown.value.armed === undefined && shown.value.preparedVersion === fence.version;
}

/** Performs one step of the rollback to the active map; its effect shows when the state is read again. */
async function rollBackOneStep(deps: RecoveryState, state: GroupState, version: number, experts: GroupExperts | undefined): Promise<void> {
	const {epoch} = state;
	if (!experts) {
		return;
	}

	const fence = {
		tag: 'prepare', version: getFenceVersion(version), experts, base: experts,
	} as const;
	if (!state.ranks.some(rank => isFenced(rank, version)) && !await fenceWitness(deps, state, fence)) {
		return;
	}

	const armedVersions = new Set(state.ranks.flatMap(({armed}) => armed ? [armed.version] : []));
	await Promise.all([...armedVersions].map(async armedVersion => execute(
		deps,
		filterRanks(state, ({armed}) => armed?.version === armedVersion),
		{tag: 'disarm', version: armedVersion},
		{epoch, isDone: ({armed}) => armed?.version !== armedVersion},
	)));
	// A rank that is still armed refuses to be fenced off.
	const unfenced = filterRanks(state, ({armed, preparedVersion}) =>
		armed !== undefined || (preparedVersion !== undefined && isProposalVersion(preparedVersion)));
	await execute(deps, unfenced, fence, {epoch, isDone: ({preparedVersion}) => preparedVersion === fence.version});
	const heldStep = readHeldStep(state);
	if (unfenced.length === 0 && heldStep !== undefined) {
		deps.log.info('map switch abandoned', {
			version, epoch, heldStep, isPlannerAway: !hasAllRanks(state),
		});
		await release(deps, state, heldStep);
	}
}

/** Reads the group without waiting for a rank that cannot be reached: the group may be held until the switch is ended. */
async function readReachableState({ranks, clock}: RecoveryDeps, withPlanner: boolean): Promise<GroupState | GroupStateError> {
	const ended = new AbortController();
	const quiet = createQuietTimer(clock);
	const givenUp = quiet.register(ended.signal, quietMillis => {
		if (quietMillis >= RECOVERY_READ_TIMEOUT_MILLIS) {
			ended.abort();
		}
	});
	const withTimeout = ranks.map((rank, i): RankEngine => ({
		...rank,
		async readState() {
			const reading = rank.readState().finally(quiet.restart);
			return Promise.race([reading, givenUp.then(() => fail({tag: 'unavailable' as const, detail: `rank ${i} does not answer`}))]);
		},
	}));
	const state = await readGroupStateOfReachable(withTimeout, withPlanner);
	ended.abort();
	return state;
}

/** Brings the group to a state that needs no recovery; returns false if the group cannot be read. */
export async function recoverSwitch(deps: RecoveryDeps, signal: AbortSignal): Promise<boolean> {
	/* eslint-disable no-await-in-loop -- Each step depends on the effect of the previous one. */
	const steps: RecoveryState = {...deps, timing: createSwitchTiming()};
	let withPlanner = true;
	let active: Readonly<{key: string; experts: GroupExperts}> | undefined;

	/** Active experts, which are read once for each map in force. */
	async function readExperts(state: GroupState): Promise<GroupExperts | undefined> {
		const mapVersion = state.ranks[0]?.mapVersion ?? 0;
		const key = `${state.epoch} ${mapVersion} ${hasAllRanks(state)}`;
		if (active?.key !== key) {
			const experts = await deps.readExperts(hasAllRanks(state), mapVersion);
			active = experts && {key, experts};
		}

		return active?.experts;
	}

	while (!signal.aborted) {
		const state = await readReachableState(deps, withPlanner);
		if (!isGroupState(state)) {
			return false;
		}

		withPlanner = hasAllRanks(state);

		if (!hasUnfinishedSwitch(state)) {
			return true;
		}

		const version = findNewestProposalVersion(state);
		const heldStep = readHeldStep(state);
		if (heldStep !== undefined && version !== undefined && areAllArmed(state, version, heldStep)) {
			deps.log.info('map switch completed', {version, epoch: state.epoch, heldStep});
			await release(steps, state, heldStep);
		} else if (version !== undefined) {
			if (!hasAllRanks(state) && filterRanks(state, ({armed}) => armed === undefined).length === 0) {
				// The planner's rank may or may not be armed, which only that rank itself can report.
				return false;
			}

			await rollBackOneStep(steps, state, version, await readExperts(state));
		} else if (heldStep !== undefined) {
			// No rank has prepared a proposal, so none can be armed. The planner's rank has none that the others did not get.
			deps.log.info('releasing a hold without a proposal', {epoch: state.epoch, heldStep});
			await release(steps, state, heldStep);
		}

		await deps.clock.sleep(RECOVERY_POLL_INTERVAL_MILLIS, signal);
	}
	/* eslint-enable no-await-in-loop */

	return false;
}
