import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {EngineFigures} from '../../../routing/routing-configuration.js';
import {estimatePrefillMillis, readPrefillFigures} from '../prefill-cost.js';

const ENGINE: EngineFigures = {
	batchSize: 7, stepsPerPass: 7, memoryTokens: 100_000, stepMillis: 5, stepMillisPerRequest: 1, prefillTokensPerMilli: 50, prefillTokensPerStep: 500,
	prefillMillisPerMillionPairs: 2, stepMillisPerThousandContextTokens: 0.5, usualPromptTokens: 900, usualAnswerTokens: 200, experts: undefined,
};

void test('the prefill of a prompt takes its steps, with the requests that are decoding, its tokens and its pairs', () => {
	const figures = readPrefillFigures(ENGINE);
	assert.ok(figures);
	assert.equal(estimatePrefillMillis(figures, 1000, 0), 10 + 20 + 1);
	assert.equal(estimatePrefillMillis(figures, 1001, 2), (3 * (5 + (2 * 1.5))) + 20.02 + 1.002_001);
});

void test('without a chunk size there are no prefill figures, so that the service is treated as before', () => {
	assert.equal(readPrefillFigures({...ENGINE, prefillTokensPerStep: undefined}), undefined);
	assert.equal(readPrefillFigures(undefined), undefined);
});
