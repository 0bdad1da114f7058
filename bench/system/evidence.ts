import {z} from 'zod';
import {expectedTokens} from '../../fakes/engine/expected-tokens.js';
import type {PromiseName} from '../../src/audit/audit-report.js';
import type {LoggedCall} from './call-log.js';

const plainRecordsSchema = z.object({
	executions: z.array(z.object({idempotencyKey: z.string(), attemptId: z.string(), startedAt: z.string()})),
});

const groupRecordsSchema = z.object({
	steps: z.number(),
	mixedSteps: z.array(z.unknown()),
	/** The first is that to the map the ranks start with. */
	switches: z.array(z.looseObject({epoch: z.number(), waitMillis: z.number()})),
	medianWaitMillis: z.number(),
	meanSkew: z.number(),
});

/** Executions that a plain service recorded. */
export type Execution = z.infer<typeof plainRecordsSchema>['executions'][number];
/** What a rank group recorded. */
export type GroupRecords = z.infer<typeof groupRecordsSchema>;

/** Reads the records of a plain service. */
export function parsePlainRecords(records: unknown): readonly Execution[] {
	return plainRecordsSchema.parse(records).executions;
}

/** Reads the records of a rank group. */
export function parseGroupRecords(records: unknown): GroupRecords {
	return groupRecordsSchema.parse(records);
}

/** Switches to maps that were proposed; a group starts with epoch 0. */
export function countSwitches(group: GroupRecords): number {
	return group.switches.filter(({epoch}) => epoch > 0).length;
}

/** Time that each switch to a proposed map added to its step over the median step, in milliseconds. */
export function listSwitchPauses(group: GroupRecords): readonly number[] {
	return group.switches
		.filter(({epoch}) => epoch > 0)
		.map(({waitMillis}) => Math.max(0, Math.round((waitMillis - group.medianWaitMillis) * 10) / 10));
}

/** What callers and stand-ins saw of one promise. */
export type Evidence = Readonly<{name: PromiseName; held: boolean; detail: string}>;

/** Keys that ran more than once. */
export function findDuplicates(executions: readonly Execution[]): readonly string[] {
	const counts = countByKey(executions);
	return [...counts].filter(([, count]) => count > 1).map(([key]) => key);
}

function countByKey(executions: readonly Execution[]): ReadonlyMap<string, number> {
	const counts = new Map<string, number>();
	for (const {idempotencyKey} of executions) {
		counts.set(idempotencyKey, (counts.get(idempotencyKey) ?? 0) + 1);
	}

	return counts;
}

/** One map a step, from what the ranks recorded. */
export function judgeExpertMaps(group: GroupRecords): Evidence {
	return {
		name: 'one_expert_map_per_step',
		held: group.steps > 0 && group.mixedSteps.length === 0,
		detail: `${group.steps} steps, ${countSwitches(group)} switches, ${group.mixedSteps.length} mixed`,
	};
}

function isWrongAnswer(call: LoggedCall): boolean {
	return call.tries.some(({outcome}) => {
		if (outcome.tag === 'faulty') {
			return true;
		}

		if (call.kind === 'plain') {
			return outcome.tag === 'answered' && !outcome.text.includes(JSON.stringify(call.key));
		}

		const expected = expectedTokens(call.prompt, call.maxTokens);
		if (outcome.tag === 'answered') {
			return outcome.tokens.join('') !== expected.join('');
		}

		return outcome.tag === 'cut' && outcome.tokens.some((token, i) => token !== expected[i]);
	});
}

/** Each answer is whole and the caller's own, from what callers got. */
export function judgeAnswers(calls: readonly LoggedCall[]): Evidence {
	const wrong = calls.filter(call => isWrongAnswer(call));
	return {
		name: 'whole_answer', held: calls.length > 0 && wrong.length === 0, detail: `${calls.length} calls, ${wrong.length} with a wrong answer${describeFirst(wrong)}`,
	};
}

function describeFirst(calls: readonly unknown[]): string {
	return calls.length === 0 ? '' : `, the first: ${JSON.stringify(calls[0])}`;
}

/** A key of which every try was "not run" did not run. */
export function judgeNotRun(calls: readonly LoggedCall[], executions: readonly Execution[]): Evidence {
	const counts = countByKey(executions);
	const refused = calls.filter(call => call.kind === 'plain' && call.tries.every(({outcome}) => outcome.tag === 'not_run'));
	const ran = refused.filter(call => call.kind === 'plain' && counts.has(call.key));
	return {
		name: 'not_run_is_true', held: ran.length === 0, detail: `${refused.length} keys refused to the end, ${ran.length} of them ran${describeFirst(ran)}`,
	};
}

/** The runs of a key and what its callers were told. */
function describeDuplicate(key: string | undefined, calls: readonly LoggedCall[], executions: readonly Execution[]): string {
	if (key === undefined) {
		return '';
	}

	const runs = executions.filter(({idempotencyKey}) => idempotencyKey === key);
	const told = calls.filter(call => call.kind === 'plain' && call.key === key);
	return `, the first: ${JSON.stringify({runs, told})}`;
}

/** No key ran twice, and an answered one ran. */
export function judgeAtMostOnce(calls: readonly LoggedCall[], executions: readonly Execution[]): Evidence {
	const counts = countByKey(executions);
	const duplicates = findDuplicates(executions);
	const answered = calls.filter(call => call.kind === 'plain' && call.tries.some(({outcome}) => outcome.tag === 'answered'));
	const invented = answered.filter(call => call.kind === 'plain' && !counts.has(call.key));
	return {
		name: 'at_most_once',
		held: duplicates.length === 0 && invented.length === 0,
		detail: `${counts.size} keys ran, ${duplicates.length} of them twice, ${invented.length} answered without a run${describeDuplicate(duplicates[0], calls, executions)}`,
	};
}
