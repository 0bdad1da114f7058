import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {createAnswerSender} from '../answer-sender.js';
import {
	acceptFrame, openAssembly, type AnswerFrame, type Assembly, type FrameResult,
} from '../frame-assembly.js';
import {countTokens, decodeTokens, encodeTokens} from '../payload-units.js';

const SEED = 20_261_203;

function createFrames(attemptId: string, firstOffset: number, pieces: ReadonlyArray<readonly string[]>): readonly AnswerFrame[] {
	const sender = createAnswerSender(attemptId, firstOffset);
	const data = pieces.map(tokens => ({tag: 'data' as const, data: sender.createData(encodeTokens(tokens), tokens.length)}));
	return [...data, {tag: 'end', end: sender.createEnd(200, false)}];
}

function acceptAll(first: Assembly, frames: readonly AnswerFrame[]) {
	const results: FrameResult[] = [];
	let assembly = first;
	for (const frame of frames) {
		const step = acceptFrame(assembly, frame);
		assembly = step.assembly;
		results.push(step.result);
	}

	const tokens = results.flatMap(result => result.tag === 'taken' ? decodeTokens(result.payload) ?? [] : []);
	return {assembly, results, tokens};
}

const piecesArbitrary = fc.array(fc.array(fc.string(), {minLength: 1, maxLength: 4}), {maxLength: 6});

test('whole answer: an answer is never marked whole unless complete, whatever frames are lost, duplicated, reordered or foreign', () => {
	fc.assert(fc.property(piecesArbitrary, piecesArbitrary, fc.nat(20), fc.array(fc.nat(50), {maxLength: 30}), (own, foreign, offset, picks) => {
		const pool = [...createFrames('own', offset, own), ...createFrames('foreign', offset, foreign)];
		const frames = picks.map(pick => pool[pick % pool.length]!);
		const {assembly, tokens} = acceptAll(openAssembly('own', offset, countTokens), frames);
		const sent = own.flat();
		assert.deepEqual(tokens, sent.slice(0, tokens.length));
		assert.ok(assembly.state !== 'whole' || tokens.length === sent.length);
	}), {seed: SEED, numRuns: 2000});
});

test('whole answer: frames in order, each sent twice, make the answer whole', () => {
	fc.assert(fc.property(piecesArbitrary, fc.nat(20), (own, offset) => {
		const frames = createFrames('own', offset, own).flatMap(frame => [frame, frame]);
		const {assembly, tokens} = acceptAll(openAssembly('own', offset, countTokens), frames);
		assert.equal(assembly.state, 'whole');
		assert.deepEqual(tokens, own.flat());
	}), {seed: SEED});
});

const ownFrames = createFrames('own', 0, [['a'], ['b']]);
const first = ownFrames[0]!;
const second = ownFrames[1]!;
const end = ownFrames[2]!;
const foreignEnd = createFrames('foreign', 0, [])[0]!;
const altered = createFrames('own', 0, [['a'], ['c']])[1]!;
const faultCases = [
	{fault: 'frame of another attempt', frames: [createFrames('foreign', 0, [['a']])[0]!], last: {tag: 'dropped', reason: 'other_attempt'}},
	{fault: 'end of another attempt', frames: [foreignEnd], last: {tag: 'dropped', reason: 'other_attempt'}},
	{fault: 'duplicate frame', frames: [first, first], last: {tag: 'dropped', reason: 'duplicate'}},
	{fault: 'lost frame', frames: [second], last: {tag: 'dropped', reason: 'out_of_order'}},
	{fault: 'frame after the end', frames: [first, second, end, second], last: {tag: 'dropped', reason: 'after_end'}},
	{fault: 'end after a lost frame', frames: [first, end], last: {tag: 'broken', reason: 'count_mismatch'}},
	{fault: 'altered payload', frames: [first, altered, end], last: {tag: 'broken', reason: 'digest_mismatch'}},
	{
		fault: 'count that the payload lacks', frames: [{
			tag: 'data', data: createAnswerSender('own', 0).createData(encodeTokens(['a']), 2),
		}], last: {tag: 'dropped', reason: 'bad_count'},
	},
] satisfies ReadonlyArray<{fault: string; frames: readonly AnswerFrame[]; last: unknown}>;

for (const {fault, frames, last} of faultCases) {
	test(`whole answer: ${fault} does not make an answer whole`, () => {
		const {results} = acceptAll(openAssembly('own', 0, countTokens), frames);
		assert.deepEqual(results.at(-1), last);
	});
}
