/**
 * Ends a switch that its proposer left behind, so that no rank ever runs a pass on another map than the others.
 *
 * A hold may be released towards the new map only when all ranks are armed with it, and towards the old one only when no rank
 * can be armed with the new one any more. A rank that has a higher version prepared can never be armed with the lower one: it
 * is the witness without which nobody disarms.
 *
 * The planner's own rank may be out of reach together with the planner. It is armed last, once all others were seen armed; so
 * while another rank can still become the witness, it is not armed, and with the witness it never will be.
 */
import type {Clock} from '../core/clock.js';
import type {Log} from '../observability/log.js';
import type {GroupExperts, RankState} from '../ports/rank-engine.js';
import {
	getAnchorRank, isGroupState, hasAllRanks, filterRanks, sendOrder, PLANNER_RANK, readGroupState, readHeldStep, type GroupRanks, type GroupState,
} from './group-ranks.js';
import {RECOVERY_POLL_INTERVAL_MILLIS, VERSIONS_PER_PROPOSAL} from './map-switch-constants.js';

/** What ending a switch needs. */
export type RecoveryDeps = Readonly<{
	ranks: GroupRanks;
	clock: Clock;
	log: Log;
	/** Experts in force at all ranks; undefined when they cannot be read. Those of the planner's rank are not asked for when it is away. */
	readExperts: (withPlanner: boolean) => Promise<GroupExperts | undefined>;
}>;

/** The version that fences a proposal off; its content is always the map in force. */
export function getFenceVersion(version: number): number {
	return version + 1;
}

/** Whether the version is that of a proposal and not of a fence. */
export function isProposalVersion(version: number): boolean {
	return version % VERSIONS_PER_PROPOSAL === 0;
}

/** The newest proposal that any rank is armed with or has prepared. */
function findNewestProposal({ranks}: GroupState): number | undefined {
	const versions = ranks
		.flatMap(({armed, preparedVersion}) => [armed?.version, preparedVersion])
		.filter((version): version is number => version !== undefined && isProposalVersion(version));
	return versions.length > 0 ? Math.max(...versions) : undefined;
}

/** Whether all ranks will switch to the version as the held pass begins. */
export function areAllArmed(state: GroupState, version: number, step: number): boolean {
	return hasAllRanks(state) && state.ranks.every(({armed}) => armed?.version === version && armed.step === step);
}

/** Whether all ranks switch to one version at one pass and nothing holds the group back. */
function isReleased({ranks}: GroupState): boolean {
	const armed = ranks[0]?.armed;
	return armed !== undefined && ranks.every(state =>
		state.heldStep === undefined && state.armed?.version === armed.version && state.armed.step === armed.step);
}

/** Whether the group has something that a proposer left behind. */
export function hasUnfinishedSwitch(state: GroupState): boolean {
	return !isReleased(state) && state.ranks.some(rank => rank.heldStep !== undefined || rank.armed !== undefined);
}

/** Whether the rank can never be armed with this version or an earlier one again. */
function isFenced({armed, preparedVersion}: RankState, version: number): boolean {
	return armed === undefined && preparedVersion !== undefined && preparedVersion > version;
}

async function release({ranks}: RecoveryDeps, {size, epoch}: GroupState, heldStep: number): Promise<void> {
	await sendOrder(ranks, [getAnchorRank(size)], {tag: 'go', step: heldStep}, epoch);
}

/** One step back to the map in force; the next look shows what it did. */
async function takeStepBack(deps: RecoveryDeps, state: GroupState, version: number): Promise<void> {
	const {ranks, log} = deps;
	const {epoch} = state;
	const experts = await deps.readExperts(hasAllRanks(state));
	if (!experts) {
		return;
	}

	const fence = {tag: 'prepare', version: getFenceVersion(version), experts} as const;
	if (!state.ranks.some(rank => isFenced(rank, version))) {
		const witness = filterRanks(state, rank => rank.armed === undefined)[0];
		if (witness !== undefined) {
			log.info('fencing a map switch off', {version, epoch, witness});
			await sendOrder(ranks, [witness], fence, epoch);
		}

		return;
	}

	await Promise.all(state.ranks.map(async ({armed, group}) =>
		armed && sendOrder(ranks, [group.rank], {tag: 'disarm', version: armed.version}, epoch)));
	const prepared = filterRanks(state, ({armed, preparedVersion}) =>
		armed === undefined && preparedVersion !== undefined && isProposalVersion(preparedVersion));
	await sendOrder(ranks, prepared, fence, epoch);
	const heldStep = readHeldStep(state);
	const isAnyArmed = state.ranks.some(({armed}) => armed !== undefined);
	if (!isAnyArmed && prepared.length === 0 && heldStep !== undefined) {
		log.info('map switch abandoned', {
			version, epoch, heldStep, isPlannerAway: !hasAllRanks(state),
		});
		await release(deps, state, heldStep);
	}
}

/** Brings the group to a state without a hold and without armed ranks; returns false when it cannot be read. */
export async function recoverSwitch(deps: RecoveryDeps, signal: AbortSignal): Promise<boolean> {
	/* eslint-disable no-await-in-loop -- Each step depends on what the one before did. */
	let withPlanner = true;
	while (!signal.aborted) {
		const state = await readGroupState(deps.ranks, withPlanner);
		if (!isGroupState(state)) {
			if (!withPlanner || state.tag !== 'unavailable' || state.rank !== PLANNER_RANK) {
				return false;
			}

			withPlanner = false;
			continue;
		}

		if (!hasUnfinishedSwitch(state)) {
			return true;
		}

		const version = findNewestProposal(state);
		const heldStep = readHeldStep(state);
		if (heldStep !== undefined && version !== undefined && areAllArmed(state, version, heldStep)) {
			deps.log.info('map switch completed', {version, epoch: state.epoch, heldStep});
			await release(deps, state, heldStep);
		} else if (version !== undefined) {
			if (!hasAllRanks(state) && filterRanks(state, ({armed}) => armed === undefined).length === 0) {
				// The planner's rank may be armed or not, and only it can tell.
				return false;
			}

			await takeStepBack(deps, state, version);
		} else if (heldStep !== undefined) {
			// No rank has a proposal prepared, so none can be armed; the planner's rank has none that the others never had.
			deps.log.info('releasing a hold without a proposal', {epoch: state.epoch, heldStep});
			await release(deps, state, heldStep);
		}

		await deps.clock.sleep(RECOVERY_POLL_INTERVAL_MILLIS, signal);
	}
	/* eslint-enable no-await-in-loop */

	return false;
}
