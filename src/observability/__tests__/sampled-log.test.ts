import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createManualClock} from '../../core/manual-clock.js';
import type {Log} from '../log.js';
import {createSampledLog} from '../sampled-log.js';

test('debug lines are rate-limited, omitted ones are counted, and other lines all pass', () => {
	const lines: string[] = [];
	const leftOut: unknown[] = [];
	const recordAs = (level: string): Log['info'] => (_message, ctx) => {
		lines.push(level);
		leftOut.push(ctx?.leftOut);
	};

	const base: Log = {
		debug: recordAs('debug'), info: recordAs('info'), warn: recordAs('warn'), error: recordAs('error'), child: () => base,
	};
	const clock = createManualClock();
	const log = createSampledLog(base, clock);
	for (let i = 0; i < 1000; i++) {
		log.debug('call');
		log.info('refused');
	}

	assert.equal(lines.filter(level => level === 'debug').length, 100);
	assert.equal(lines.filter(level => level === 'info').length, 1000);
	clock.advance(1000);
	log.debug('call');
	assert.equal(leftOut.at(-1), 900);
});
