/**
 * Accounts for the prompt tokens that have not been processed yet, in sum and by backend server. A long prompt delays the first
 * events of the requests behind it on its engine, which the number of requests in flight does not show.
 */
import {REPORT_TIME_CONSTANT_MILLIS} from './flow-constants.js';

/** Prompt of one request; the object identifies the request. */
export type Prompt = Readonly<{
	tokens: number;
	/** Expected time for its prefill, in milliseconds. */
	prefillMillis: number;
}>;

/** Prompts of one service that wait for their first event. */
export type PromptLoad = Readonly<{
	/** Counts the prompt in sum; it belongs to no backend server yet. Has no effect on one that is already counted. */
	start: (prompt: Prompt) => void;
	/** Counts the prompt at the backend server that it is sent to. */
	assign: (prompt: Prompt, server: string) => void;
	/** Stops counting the prompt: its first event has arrived, or its attempt or request has ended. */
	end: (prompt: Prompt) => void;
	/** Records how many requests of all processes a backend server has not begun yet. */
	noteWaiting: (server: string, waiting: number, nowMillis: number) => void;
	/** Tokens that this process has not got a first event for. */
	countTokens: () => number;
	/** Tokens to be processed at a backend server, including those of other processes, whose prompts count as `usualTokens` each. */
	estimateTokensAt: (server: string, usualTokens: number, nowMillis: number) => number;
	/** Removes the reports of backend servers that are no longer listed. */
	retain: (isListed: (server: string) => boolean) => void;
}>;

type Report = Readonly<{othersWaiting: number; atMillis: number}>;

/** Creates an account without prompts. */
export function createPromptLoad(): PromptLoad {
	const serverByPrompt = new Map<Prompt, string | undefined>();
	const promptsByServer = new Map<string, Set<Prompt>>();
	const reports = new Map<string, Report>();
	let tokens = 0;

	function unassign(prompt: Prompt): void {
		const server = serverByPrompt.get(prompt);
		const prompts = server === undefined ? undefined : promptsByServer.get(server);
		prompts?.delete(prompt);
		if (server !== undefined && prompts?.size === 0) {
			promptsByServer.delete(server);
		}
	}

	function start(prompt: Prompt): void {
		if (!serverByPrompt.has(prompt)) {
			serverByPrompt.set(prompt, undefined);
			tokens += prompt.tokens;
		}
	}

	return {
		start,
		assign(prompt, server) {
			start(prompt);
			unassign(prompt);
			serverByPrompt.set(prompt, server);
			promptsByServer.set(server, (promptsByServer.get(server) ?? new Set<Prompt>()).add(prompt));
		},
		end(prompt) {
			unassign(prompt);
			if (serverByPrompt.delete(prompt)) {
				tokens -= prompt.tokens;
			}
		},
		noteWaiting(server, waiting, nowMillis) {
			reports.set(server, {othersWaiting: Math.max(0, waiting - (promptsByServer.get(server)?.size ?? 0)), atMillis: nowMillis});
		},
		countTokens: () => tokens,
		estimateTokensAt(server, usualTokens, nowMillis) {
			let own = 0;
			for (const prompt of promptsByServer.get(server) ?? []) {
				own += prompt.tokens;
			}

			const report = reports.get(server);
			const others = report ? report.othersWaiting * Math.exp((report.atMillis - nowMillis) / REPORT_TIME_CONSTANT_MILLIS) : 0;
			return own + (others * usualTokens);
		},
		retain(isListed) {
			for (const server of reports.keys()) {
				if (!isListed(server)) {
					reports.delete(server);
				}
			}
		},
	};
}
