import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {StreamItem, StreamRequest} from '../../../src/ports/model-engine.js';
import {createBatch} from '../batch.js';
import {createExpertPopularity} from '../expert-popularity.js';
import {expectedTokens} from '../expected-tokens.js';

function request(attemptId: string, priority: number): StreamRequest {
	return {
		attemptId, priority, prompt: attemptId, maxTokens: 2, offset: 0,
	};
}

function describe(item: StreamItem): string {
	return item.tag === 'piece' ? item.piece.tokens.join('') : 'end';
}

test('engine batch: a free slot goes to the highest priority, then to the stream queued first', () => {
	const batch = createBatch(1, 9);
	const items: string[] = [];
	for (const [attemptId, priority] of [['low', 1], ['high', 2], ['later', 2]] as const) {
		batch.add(request(attemptId, priority), 0, {
			push(item) {
				items.push(describe(item));
			},
			close() {
				items.push('closed');
			},
		});
	}

	for (let step = 0; step < 6; step++) {
		batch.advanceStreams();
	}

	assert.deepEqual(items, ['high', 'later', 'low'].flatMap(prompt => [...expectedTokens(prompt, 2), 'end', 'closed']));
	assert.deepEqual(batch.counts(), {running: 0, queued: 0});
	assert.deepEqual(batch.records().map(record => record.state), ['whole', 'whole', 'whole']);
});

test('engine popularity: the same seed gives the same tokens in every process, and they drift', () => {
	const options = {shape: {layers: 2, experts: 8}, seed: 5, driftSteps: 10};
	const [one, other] = [createExpertPopularity(options), createExpertPopularity(options)];
	const steps = [0, 5, 10, 95, 3];
	assert.deepEqual(steps.map(step => one(step)), steps.map(step => other(step)));
	assert.deepEqual(one(0), one(9));
	assert.notDeepEqual(one(0), one(95));
	assert.notDeepEqual(one(0), createExpertPopularity({...options, seed: 6})(0));
	assert.deepEqual(one(0)[0]?.toSorted(), one(95)[0]?.toSorted());
});
