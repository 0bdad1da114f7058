/** Converts token counts since the start of the group into counts since the previous report. */
import type {EngineState} from '../ports/model-engine.js';

type Tokens = EngineState['tokensPerExpert'];

/** Counter of one engine. Only the holder of the group's lease reads it; a second reader would get a part of the counts. */
export type TokenCounter = {
	/** Returns the tokens of each expert since the last call, one list for each layer. The first call counts from the start of the group. */
	readonly takeDelta: (state: Pick<EngineState, 'groupIncarnation' | 'tokensPerExpert'>) => Tokens;
};

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
