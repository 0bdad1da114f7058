import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {test} from 'node:test';
import {findLineFault} from '../../observability/line-schemas.js';
import {explainRequest} from '../explain-request.js';
import {parseLogLine, type LogLine} from '../log-line.js';

type SampleLine = Readonly<{atMillis: number; instanceId?: string; message: string; values: Readonly<Record<string, unknown>>}>;

function serialize({atMillis, instanceId = 'gateway-1', message, values}: SampleLine, sequence: number): string {
	return `collector> ${JSON.stringify({
		context: {
			instanceId, incarnation: 'x', failureDomain: 'a', role: instanceId.startsWith('agent') ? 'rank_agent' : 'gateway', logLevel: 30, ...values,
		},
		message,
		sequence: String(sequence),
		time: atMillis,
		version: '2.0.0',
	})}`;
}

function parseSamples(lines: readonly SampleLine[]): readonly LogLine[] {
	return lines.map((line, i) => parseLogLine(serialize(line, i))).filter(line => line !== undefined);
}

void test('the causes of an overload refusal include the limit and the uneven group', () => {
	const lines = parseSamples([
		{atMillis: 900, message: 'backend server gone', values: {server: 's9', reason: 'left'}},
		{
			atMillis: 1000, message: 'refused', values: {
				request: 'a', outcome: 'not_run', reason: 'overload', elapsedMillis: 300, inFlight: 9, waiting: 4, limit: 9.5,
			},
		},
		{
			atMillis: 1500, instanceId: 'agent-1', message: 'map switch', values: {
				outcome: 'switched', epoch: 2, copies: 4, skewBefore: 3.8, skewAfter: 2.1,
			},
		},
		{
			atMillis: 90_000, instanceId: 'agent-1', message: 'map switch', values: {
				outcome: 'switched', epoch: 2, copies: 4, skewBefore: 9, skewAfter: 2.1,
			},
		},
	]);
	const explained = explainRequest('a', lines);
	assert.equal(explained?.outcome, 'not_run');
	assert.deepEqual(explained.causes, [
		'it waited 300 ms for a place: 9 requests were in flight of 9.5 allowed, 4 waited',
		'a group was uneven (skew 3.80) at that time',
	]);
	assert.equal(explained.around.length, 1, 'neither a server that the request was not sent to, nor a switch long after');
});

void test('the causes of a lost answer include the backend server, and that it had gone', () => {
	const explained = explainRequest('b', parseSamples([
		{
			atMillis: 1083, message: 'refused', values: {
				request: 'b', outcome: 'unknown', reason: 'lost', attempts: 1,
			},
		},
		{
			atMillis: 1082, message: 'attempt failed', values: {
				request: 'b', server: 's1', end: 'lost', detail: 'UND_ERR_SOCKET', tookMillis: 82,
			},
		},
		{atMillis: 2100, message: 'backend server gone', values: {server: 's1', reason: 'row removed'}},
		{
			atMillis: 2100, instanceId: 'gateway-2', message: 'backend server gone', values: {server: 's1', reason: 'row removed'},
		},
	]));
	assert.equal(explained?.outcome, 'unknown');
	assert.deepEqual(explained.own.map(({message}) => message), ['attempt failed', 'refused'], 'in order of time');
	assert.deepEqual(explained.causes, ['s1 broke off after 82 ms: UND_ERR_SOCKET; it may have run', 's1 had gone: row removed']);
	assert.equal(explained.around.length, 1, 'only changes logged by the process that accepted the request');
});

void test('a stream cut off by its deadline and an omitted retry are separate causes', () => {
	const explained = explainRequest('c', parseSamples([
		{
			atMillis: 7000, message: 'attempt failed', values: {
				request: 'c', server: 's2', end: 'late', lastEventId: 48, tookMillis: 6105,
			},
		},
		{
			atMillis: 7000, message: 'not repeated', values: {
				request: 'c', after: 'lost', attempts: 1, maxAttempts: 2,
			},
		},
		{
			atMillis: 7001, message: 'refused', values: {
				request: 'c', outcome: 'unknown', reason: 'late', deadlineMillis: 6112, broken: true,
			},
		},
	]));
	assert.deepEqual(explained?.causes, [
		's2 had not finished after 6105 ms behind event 48',
		'the retry budget of the service was used up',
		'it was under way when its time of 6112 ms was over',
	]);
});

void test('text that is not a log line is skipped, and an unknown id has no explanation', () => {
	assert.equal(parseLogLine('plain text'), undefined);
	assert.equal(parseLogLine('{"message":"torn'), undefined);
	assert.equal(parseLogLine('{"message":"no context","time":1}'), undefined);
	assert.equal(explainRequest('nobody', parseSamples([{atMillis: 1, message: 'call', values: {request: 'a'}}])), undefined);
});

void test('example lines from a day on the platform are parsed and match their schemas', async () => {
	const text = await readFile('examples/gateways.log', 'utf8');
	const lines = text.trimEnd().split('\n').map(line => parseLogLine(line));
	assert.ok(lines.every(line => line !== undefined));
	assert.deepEqual(lines.map(line => findLineFault(line.message, line.values)).filter(fault => fault !== undefined), []);
});

void test('a request that was lost in a crash and then quarantined is explained by its parts and the crashes', () => {
	const explained = explainRequest('d', parseSamples([
		{
			atMillis: 1000, message: 'attempt failed', values: {
				request: 'd', server: 's2', end: 'lost', detail: 'ECONNRESET', promptParts: 'sys bad x2', events: 0, tookMillis: 80,
			},
		},
		{
			atMillis: 1003, message: 'request lost in a crash', values: {
				request: 'd', server: 's2', startedAt: 7, promptParts: 'sys bad x2',
			},
		},
		{
			atMillis: 1004, message: 'refused', values: {
				request: 'd', outcome: 'unknown', reason: 'lost', cause: 'quarantined', parts: 'bad', crashed: 's1 s2',
			},
		},
	]));
	assert.deepEqual(explained?.causes, [
		's2 broke off after 80 ms: ECONNRESET; it may have run',
		's2 crashed before it had answered',
		'its prompt has the parts bad, on which s1 s2 crashed before they had answered',
	]);
});
