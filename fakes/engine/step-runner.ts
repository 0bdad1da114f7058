import type {Arrival} from '../group/step-barrier.js';
import type {Batch} from './batch.js';
import type {ExpertLoader} from './expert-loader.js';
import type {ExpertPopularity} from './expert-popularity.js';
import {tokensOfRank} from './expert-shape.js';
import type {GroupLink} from './group-link.js';
import type {LoadMeter} from './load-meter.js';
import type {StartedStep, MapAgreement} from './map-agreement.js';

/** Dependencies of the step loop. */
export type StepRunnerDeps = Readonly<{
	rank: number;
	/** Multiplies the load of this rank. */
	slowFactor: number;
	link: GroupLink;
	agreement: MapAgreement;
	loader: ExpertLoader;
	popularity: ExpertPopularity;
	batch: Batch;
	meter: LoadMeter;
	waitWhileFrozen: () => Promise<void>;
	signal: AbortSignal;
}>;

type StepTokens = ReturnType<ExpertPopularity>;

function sumTokensOfOwnRank({rank}: StepRunnerDeps, {map}: StartedStep, tokens: StepTokens): number {
	return tokens.reduce((sum, layerTokens, layer) => sum + tokensOfRank(map, layer, rank, layerTokens), 0);
}

async function arrive(deps: StepRunnerDeps, step: StartedStep, load: number) {
	const arrival: Omit<Arrival, 'rank'> = {
		groupIncarnation: step.groupIncarnation, step: step.step, epoch: step.epoch, load,
	};
	return deps.link.arrive(arrival);
}

async function runStep(deps: StepRunnerDeps): Promise<void> {
	const {agreement, loader, popularity, batch, meter} = deps;
	await deps.waitWhileFrozen();
	const step = await agreement.beginStep();
	await loader.load(step.epoch, step.map);
	loader.evictUnneeded(step.epoch, step.map);
	const tokens = popularity(step.step);
	const load = sumTokensOfOwnRank(deps, step, tokens) * deps.slowFactor;
	const outcome = await arrive(deps, step, load);
	await deps.waitWhileFrozen();
	if (outcome.tag === 'restarted') {
		await agreement.waitForOtherIncarnation(step.groupIncarnation);
		return;
	}

	batch.advanceStreams();
	meter.addStep({
		...batch.counts(), tokens, rankMillis: outcome.millisPerLoad * load, stepMillis: outcome.stepMillis,
	});
}

async function runSteps(deps: StepRunnerDeps): Promise<void> {
	while (!deps.signal.aborted) {
		// eslint-disable-next-line no-await-in-loop
		await runStep(deps);
	}
}

/** The only place where an engine handles a group restart, so that it sees the incarnations in order. */
async function watchIncarnations({link, agreement, meter, signal}: StepRunnerDeps): Promise<void> {
	while (!signal.aborted) {
		// eslint-disable-next-line no-await-in-loop
		const incarnation = await link.nextIncarnation(agreement.read().groupIncarnation);
		agreement.restartGroup(incarnation, 0);
		meter.resetToIdle();
	}
}

/** Joins the group and runs steps in a loop. Rejects when the signal aborts a call to the group. */
export async function runStepsUntilAborted(deps: StepRunnerDeps): Promise<void> {
	const joined = await deps.link.joinGroup();
	deps.agreement.restartGroup(joined.groupIncarnation, joined.step);
	await Promise.all([runSteps(deps), watchIncarnations(deps)]);
}
