import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createPromptLoad} from '../prompt-load.js';

const USUAL_TOKENS = 100;

void test('a prompt counts once, at the backend server of its latest attempt, until it has ended', () => {
	const load = createPromptLoad();
	const [long, short] = [2000, 100].map(tokens => ({tokens, prefillMillis: 1}));
	assert.ok(long && short);
	load.start(long);
	load.assign(long, 'a');
	load.assign(short, 'a');
	load.assign(long, 'b');
	assert.deepEqual([load.countTokens(), load.estimateTokensAt('a', USUAL_TOKENS, 0), load.estimateTokensAt('b', USUAL_TOKENS, 0)], [2100, 100, 2000]);
	load.end(long);
	load.end(long);
	assert.deepEqual([load.countTokens(), load.estimateTokensAt('b', USUAL_TOKENS, 0)], [100, 0]);
});

void test('reported requests of other processes count, without the own ones and less with the age of the report', () => {
	const load = createPromptLoad();
	load.assign({tokens: 500, prefillMillis: 1}, 'a');
	load.noteWaiting('a', 3, 0);
	assert.equal(load.estimateTokensAt('a', USUAL_TOKENS, 0), 700);
	assert.ok(load.estimateTokensAt('a', USUAL_TOKENS, 5000) < 505);
	load.retain(() => false);
	assert.equal(load.estimateTokensAt('a', USUAL_TOKENS, 0), 500);
});
