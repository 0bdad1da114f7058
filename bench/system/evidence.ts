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
	/** The first element is the switch to the map that the ranks start with. */
	switches: z.array(z.looseObject({epoch: z.number(), waitMillis: z.number()})),
	medianWaitMillis: z.number(),
	meanSkew: z.number(),
});

/** One execution of a call, as its plain service recorded it. */
export type Execution = z.infer<typeof plainRecordsSchema>['executions'][number];
/** Steps and map switches that a rank group recorded. */
export type GroupRecords = z.infer<typeof groupRecordsSchema>;

export function parsePlainRecords(records: unknown): readonly Execution[] {
	return plainRecordsSchema.parse(records).executions;
}

export function parseGroupRecords(records: unknown): GroupRecords {
	return groupRecordsSchema.parse(records);
}

/** Counts the switches to proposed maps; the initial map of a group has epoch 0. */
export function countSwitches(group: GroupRecords): number {
	return group.switches.filter(({epoch}) => epoch > 0).length;
}

/** For each switch to a proposed map: how much longer than the median its step waited, in milliseconds. */
export function listSwitchPauses(group: GroupRecords): readonly number[] {
	return group.switches
		.filter(({epoch}) => epoch > 0)
		.map(({waitMillis}) => Math.max(0, Math.round((waitMillis - group.medianWaitMillis) * 10) / 10));
}

/** Whether one promise held according to the records of callers and stand-ins. */
export type Evidence = Readonly<{name: PromiseName; held: boolean; detail: string}>;

/** Idempotency keys that were executed more than once. */
export function findDuplicateKeys(executions: readonly Execution[]): readonly string[] {
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

/** Checks in the records of the ranks that each step used one expert map. */
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

/** Checks that each answer a caller received is complete and belongs to its own request. */
export function judgeAnswers(calls: readonly LoggedCall[]): Evidence {
	const wrongAnswers = calls.filter(call => isWrongAnswer(call));
	return {
		name: 'whole_answer', held: calls.length > 0 && wrongAnswers.length === 0, detail: `${calls.length} calls, ${wrongAnswers.length} with a wrong answer${describeFirst(wrongAnswers)}`,
	};
}

function describeFirst(calls: readonly unknown[]): string {
	return calls.length === 0 ? '' : `, first: ${JSON.stringify(calls[0])}`;
}

/** Checks that no key was executed of which every try ended as "not run". */
export function judgeNotRun(calls: readonly LoggedCall[], executions: readonly Execution[]): Evidence {
	const counts = countByKey(executions);
	const alwaysRefused = calls.filter(call => call.kind === 'plain' && call.tries.every(({outcome}) => outcome.tag === 'not_run'));
	const executed = alwaysRefused.filter(call => call.kind === 'plain' && counts.has(call.key));
	return {
		name: 'not_run_is_true', held: executed.length === 0, detail: `${alwaysRefused.length} keys refused in every try, ${executed.length} of them executed${describeFirst(executed)}`,
	};
}

/** The executions of a key and the outcomes that its callers got. */
function describeDuplicate(key: string | undefined, calls: readonly LoggedCall[], executions: readonly Execution[]): string {
	if (key === undefined) {
		return '';
	}

	const runs = executions.filter(({idempotencyKey}) => idempotencyKey === key);
	const callsWithKey = calls.filter(call => call.kind === 'plain' && call.key === key);
	return `, first: ${JSON.stringify({runs, told: callsWithKey})}`;
}

/** Checks that no key was executed twice, and that each answered key was executed. */
export function judgeAtMostOnce(calls: readonly LoggedCall[], executions: readonly Execution[]): Evidence {
	const counts = countByKey(executions);
	const duplicateKeys = findDuplicateKeys(executions);
	const answered = calls.filter(call => call.kind === 'plain' && call.tries.some(({outcome}) => outcome.tag === 'answered'));
	const unexecuted = answered.filter(call => call.kind === 'plain' && !counts.has(call.key));
	return {
		name: 'at_most_once',
		held: duplicateKeys.length === 0 && unexecuted.length === 0,
		detail: `${counts.size} keys executed, ${duplicateKeys.length} more than once, ${unexecuted.length} answered without an execution${describeDuplicate(duplicateKeys[0], calls, executions)}`,
	};
}
