import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {LogLine} from '../../explain/log-line.js';
import {verifyLogs} from '../verify-logs.js';

function line(timeMillis: number, message: string, values: LogLine['values'], incarnation = 'x'): LogLine {
	return {
		timeMillis, instanceId: 'g', incarnation, role: 'gateway', sequence: timeMillis, message, values,
	};
}

const refusal = line(20, 'refused', {request: 'a', outcome: 'not_run', reason: 'overload'});
const call = line(30, 'call', {
	request: 'b', servers: 's1', elapsedMillis: 10, outcome: 'answered',
});
const departure = line(1000, 'backend server', {server: 's1', state: 'draining'});
const recovery = line(2000, 'backend server', {server: 's1', state: 'ready'});
const switched = line(1, 'map switch', {outcome: 'switched', version: 4});

const cases: ReadonlyArray<Readonly<{name: string; promise: string; lines: readonly LogLine[]; verdict: string}>> = [
	{
		name: 'a refusal before any attempt', promise: 'not_run_is_true', lines: [refusal], verdict: 'held',
	},
	{
		name: 'a refusal after a lost attempt', promise: 'not_run_is_true', lines: [line(10, 'attempt failed', {request: 'a', end: 'lost'}), refusal], verdict: 'broken',
	},
	{
		name: 'a refusal after a refused attempt', promise: 'not_run_is_true', lines: [line(10, 'attempt failed', {request: 'a', end: 'not_run'}), refusal], verdict: 'held',
	},
	{
		name: 'no refusal', promise: 'not_run_is_true', lines: [call], verdict: 'not_shown',
	},
	{
		name: 'two ends of an attempt', promise: 'at_most_once', lines: [call, {...call, instanceId: 'h'}], verdict: 'broken',
	},
	{
		name: 'increasing versions', promise: 'configuration_never_reverts', lines: [line(1, 'configuration in force', {version: 2, former: 1})], verdict: 'held',
	},
	{
		name: 'a decreasing version', promise: 'configuration_never_reverts', lines: [line(1, 'configuration in force', {version: 1, former: 2})], verdict: 'broken',
	},
	{
		name: 'a call shortly after its backend server began to drain', promise: 'leaving_gets_no_new_work', lines: [departure, {...call, timeMillis: 2900}], verdict: 'held',
	},
	{
		name: 'a call long after its backend server began to drain', promise: 'leaving_gets_no_new_work', lines: [departure, {...call, timeMillis: 3100}], verdict: 'broken',
	},
	{
		name: 'a call after its backend server became ready again', promise: 'leaving_gets_no_new_work', lines: [departure, recovery, {...call, timeMillis: 3100}], verdict: 'held',
	},
	{
		name: 'a call of another process', promise: 'leaving_gets_no_new_work', lines: [departure, {...call, timeMillis: 3100, incarnation: 'y'}], verdict: 'held',
	},
	{
		name: 'one version switched to twice', promise: 'one_expert_map_per_step', lines: [switched, {...switched, timeMillis: 2}], verdict: 'broken',
	},
	{
		name: 'a stop that cut calls off', promise: 'stop_cuts_nothing_off', lines: [line(1, 'stopped', {cutOff: 1})], verdict: 'broken',
	},
];

for (const {name, promise, lines, verdict} of cases) {
	void test(`${name}: ${promise} is ${verdict}`, () => {
		const found = verifyLogs(lines).promises.find(finding => finding.name === promise);
		assert.equal(found?.verdict, verdict);
		assert.equal(found.lines.length, verdict === 'broken' ? 1 : 0);
	});
}

void test('omitted lines are counted', () => {
	assert.equal(verifyLogs([{...call, values: {...call.values, leftOut: 40}}]).leftOut, 40);
});
