import type {CallerOutcome} from './caller.js';
import {countNames} from './count-names.js';

/** One try: one request of a caller to one entry. */
export type CallTry = Readonly<{
	url: string;
	outcome: CallerOutcome;
	/** Time from the start of the try to its outcome, in milliseconds. */
	tookMillis: number;
	/** ISO 8601. */
	endedAt: string;
}>;

/** A call as its caller made it, with each try. */
export type LoggedCall
	= | Readonly<{kind: 'plain'; key: string; body: string; isBound: boolean; tries: readonly CallTry[]}>
		| Readonly<{kind: 'model'; prompt: string; maxTokens: number; tries: readonly CallTry[]}>;

export function allTries(calls: readonly LoggedCall[]): readonly CallTry[] {
	return calls.flatMap(call => call.tries);
}

/** Counts tries by the tag of their outcome. */
export function countOutcomes(calls: readonly LoggedCall[]): Readonly<Record<string, number>> {
	return countNames(allTries(calls).map(({outcome}) => outcome.tag));
}
