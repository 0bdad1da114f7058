import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createPromptSizes} from '../prompt-sizes.js';

function createNoted(tokens: readonly number[]) {
	const sizes = createPromptSizes();
	for (const count of tokens) {
		sizes.note(count);
	}

	return sizes;
}

void test('prompts are treated by size only once enough of them differ by more than a factor of two', () => {
	const alternating = (count: number, long: number) => Array.from({length: count}, (_, i) => i % 2 === 0 ? 100 : long);
	assert.equal(createNoted([]).isMixed(), false);
	assert.equal(createNoted(alternating(14, 900)).isMixed(), false, 'too few');
	assert.equal(createNoted(alternating(40, 200)).isMixed(), false, 'twice the size is not more than twice');
	assert.equal(createNoted(alternating(40, 201)).isMixed(), true);
	assert.equal(createNoted([...alternating(40, 900), ...Array.from({length: 128}, () => 100)]).isMixed(), false, 'only recent prompts count');
	assert.equal(createNoted([...Array.from({length: 60}, () => 100), 5000]).isMixed(), false, 'a single exception does not decide');
});

void test('a prompt is short, middle or long against the usual prompt', () => {
	const sizes = createNoted([200, 300, 1000]);
	assert.equal(sizes.readUsualTokens(), 300);
	assert.deepEqual([199, 200, 450, 451].map(tokens => sizes.classify(tokens)), ['short', 'middle', 'middle', 'long']);
});
