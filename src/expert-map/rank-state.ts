import type {EngineState, ExpertMap as EngineMap} from '../ports/model-engine.js';
import type {RankState} from '../wire/generated/vote.js';
import type {TokenCounter} from './token-counter.js';

/** What the planner is told of the agent itself. */
export type RankIdentity = Pick<RankState, 'group' | 'rank' | 'agentId' | 'agentIncarnation' | 'checksFencing' | 'pending'>;

/** State of a rank for the planner. Tokens are counted from the report before. */
export function createRankState(identity: RankIdentity, state: EngineState, counter: TokenCounter): RankState {
	return {
		...identity,
		groupIncarnation: state.groupIncarnation,
		step: state.step,
		mapEpoch: state.mapEpoch,
		stepMillis: state.stepMillis,
		reportAgeMillis: Math.round(state.ageMillis),
		layers: counter.takeDelta(state).map(tokens => ({tokens})),
		map: copyMap(state.map),
		pending: identity.pending || state.hold !== undefined,
	};
}

function copyMap({layers}: EngineMap): EngineMap {
	return {layers: layers.map(({slotsPerRank, slots}) => ({slotsPerRank, slots: [...slots]}))};
}
