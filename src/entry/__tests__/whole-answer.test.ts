import {Buffer} from 'node:buffer';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {encodeTokens} from '../../answer/payload-units.js';
import {sha256Hex} from '../../core/digest.js';
import {
	createTestEnvironment, postPrompt, startAgents, startTestEntry,
} from './entry-harness.js';
import {answerTokens, type Script} from './fake-agent.js';

const TOKENS = ['the ', 'wind ', 'clause ', 'was ', 'indexed'];
const sendWhole = answerTokens(TOKENS);

/** Sends the first two tokens of the answer, then runs `next`. A resumed attempt gets the rest of the answer instead. */
function sendTwoThen(next: Script): Script {
	return async attempt => {
		const {start, sender, send} = attempt;
		if (start.offset > 0) {
			return sendWhole(attempt);
		}

		for (const token of TOKENS.slice(0, 2)) {
			send({$case: 'data', data: sender.createData(encodeTokens([token]), 1)});
		}

		return next(attempt);
	};
}

const FAULTS: Readonly<Record<string, Script>> = {
	'the engine fails mid-stream': sendTwoThen(({start, send}) => {
		send({$case: 'broken', broken: {attemptId: start.attemptId, reason: 'engine died'}});
	}),
	'the link closes mid-stream': sendTwoThen(({closeLink}) => {
		closeLink();
	}),
	'the agent refuses'({start, send}) {
		send({$case: 'refused', refused: {attemptId: start.attemptId, reason: 'leaving', retryAfterMillis: 0}});
	},
	'a data frame is duplicated'({start, sender, send}) {
		for (const token of TOKENS) {
			const data = sender.createData(encodeTokens([token]), 1);
			send({$case: 'data', data});
			send({$case: 'data', data});
		}

		send({$case: 'end', end: sender.createEnd(200, false)});
	},
	'two data frames are reordered'({sender, send}) {
		const frames = TOKENS.map(token => sender.createData(encodeTokens([token]), 1));
		for (const index of [0, 2, 1, 3, 4]) {
			const data = frames[index];
			if (data) {
				send({$case: 'data', data});
			}
		}

		send({$case: 'end', end: sender.createEnd(200, false)});
	},
	'a data frame of another attempt arrives in between': sendTwoThen(({sender, send}) => {
		send({
			$case: 'data', data: {
				attemptId: 'another', offset: 2, count: 1, payload: Buffer.from('["secret"]'),
			},
		});
		for (const token of TOKENS.slice(2)) {
			send({$case: 'data', data: sender.createData(encodeTokens([token]), 1)});
		}

		send({$case: 'end', end: sender.createEnd(200, false)});
	}),
	'the end frame arrives before the last data frame': sendTwoThen(({sender, send}) => {
		const late = sender.createData(encodeTokens([TOKENS[2] ?? '']), 1);
		send({$case: 'end', end: sender.createEnd(200, false)});
		send({$case: 'data', data: late});
	}),
};

for (const [fault, script] of Object.entries(FAULTS)) {
	test(`whole answer: ${fault}`, async t => {
		const env = createTestEnvironment(t);
		let attempts = 0;
		const failFirst: Script = async attempt => {
			attempts++;
			return attempts === 1 ? script(attempt) : sendWhole(attempt);
		};

		await startAgents(env, 'model', [failFirst, failFirst]);
		const entry = await startTestEntry(env, 'entry-1');

		const {status, events} = await postPrompt(entry);

		assert.equal(status, 200);
		assert.equal(events.filter(event => event.name === 'tokens').flatMap(event => event.tokens).join(''), TOKENS.join(''));
		assert.equal(events.at(-1)?.name, 'end');
		assert.equal(events.at(-1)?.count, TOKENS.length);
		assert.equal(events.at(-1)?.digest, sha256Hex(TOKENS.join('')));
	});
}

test('whole answer: a stream resumes once its only agent accepts links again', async t => {
	const env = createTestEnvironment(t);
	const [agent] = await startAgents(env, 'model', [sendTwoThen(({closeLink}) => {
		if (agent) {
			agent.linksToRefuse = 3;
		}

		closeLink();
	})]);
	const entry = await startTestEntry(env, 'entry-1');
	const {events} = await postPrompt(entry);

	assert.equal(events.flatMap(event => event.tokens).join(''), TOKENS.join(''));
	assert.equal(events.at(-1)?.name, 'end');
});
