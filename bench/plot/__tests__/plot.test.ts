import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {test} from 'node:test';
import {parseLogLine, type LogLine} from '../../../src/explain/log-line.js';
import {drawDay} from '../draw-day.js';
import {summarizeDay} from '../summarize-day.js';

function line(timeMillis: number, message: string, values: LogLine['values']): LogLine {
	return {
		timeMillis, instanceId: 'g', incarnation: 'x', role: 'gateway', sequence: 0, message, values,
	};
}

void test('calls are counted per second, including those left out of the log', () => {
	const {outcomes, waits, skews, processes} = summarizeDay([
		line(1000, 'started', {}),
		line(1200, 'call', {outcome: 'answered', waitedMillis: 10, firstByteMillis: 100}),
		line(1300, 'call', {outcome: 'answered', waitedMillis: 30, leftOut: 7}),
		line(2100, 'refused', {reason: 'overload'}),
		line(2200, 'map switch', {skewBefore: 3, skewAfter: 1.5}),
	]);
	assert.deepEqual(outcomes, [
		{second: 0, kind: 'answered', value: 2}, {second: 0, kind: 'left out of the log', value: 7}, {second: 1, kind: 'refused', value: 1},
	]);
	assert.deepEqual(waits, [{second: 0, kind: 'for a place', value: 20}, {second: 0, kind: 'to the first byte', value: 100}]);
	assert.deepEqual(skews, [{second: 1, kind: 'before', value: 3}, {second: 1, kind: 'after', value: 1.5}]);
	assert.deepEqual(processes, [{second: 0, kind: 'started', value: 1}]);
});

void test('the plot of a day contains its title and the titles of its panels', async () => {
	const text = await readFile('examples/gateways.log', 'utf8');
	const lines = text.split('\n').map(row => parseLogLine(row)).filter(row => row !== undefined);
	const svg = await drawDay('a day', summarizeDay(lines));
	assert.match(svg, /^<svg /v);
	for (const title of ['a day', 'Calls that ended', 'Waiting', 'Skew of the expert maps', 'Processes']) {
		assert.ok(svg.includes(title), title);
	}
});
