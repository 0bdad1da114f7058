/** Turns counts since the start of the group into counts since the report before. */
import type {EngineState} from '../ports/model-engine.js';

type Tokens = EngineState['tokensPerExpert'];

/** Counts of one engine. There is one reader, the holder of the group's lease; a second one would share the counts with it. */
export type TokenCounter = {
	/** Tokens of each expert since the last call, one list a layer; since the start of the group at first. */
	readonly takeDelta: (state: Pick<EngineState, 'groupIncarnation' | 'tokensPerExpert'>) => Tokens;
};

/** Creates a counter that has reported nothing. */
export function createTokenCounter(): TokenCounter {
	let reported: Readonly<{groupIncarnation: string; tokens: Tokens}> = {groupIncarnation: '', tokens: []};

	return {
		takeDelta({groupIncarnation, tokensPerExpert}) {
			const before = reported.groupIncarnation === groupIncarnation ? reported.tokens : [];
			reported = {groupIncarnation, tokens: tokensPerExpert};
			return tokensPerExpert.map((tokens, layer) => tokens.map((count, expert) =>
				Math.max(0, count - (before[layer]?.[expert] ?? 0))));
		},
	};
}
