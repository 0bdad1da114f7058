import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createManualClock} from '../../../core/manual-clock.js';
import {createSeededRandom} from '../../random.js';
import {createServerPicker, type Candidate} from '../server-picker.js';

const CANDIDATES: readonly Candidate[] = ['a', 'b', 'c', 'd', 'e'].map(id => ({id, slots: 8, coldLeftMillis: 0}));

function createPicker() {
	const clock = createManualClock();
	const avoided: string[] = [];
	const picker = createServerPicker({
		clock,
		random: createSeededRandom(1),
		onEjected(id) {
			avoided.push(id);
		},
	});
	return {clock, picker, avoided};
}

/** How often each candidate is picked, each request held. */
function spread(picker: ReturnType<typeof createServerPicker>, candidates: readonly Candidate[], requests: number): ReadonlyMap<string, number> {
	const counts = new Map<string, number>();
	for (let i = 0; i < requests; i++) {
		const id = picker.pick(candidates)?.id ?? '';
		picker.noteStart(id);
		counts.set(id, (counts.get(id) ?? 0) + 1);
	}

	return counts;
}

void test('requests in flight are spread evenly', () => {
	const {picker} = createPicker();
	assert.deepEqual([...spread(picker, CANDIDATES, 40).values()], [8, 8, 8, 8, 8]);
});

void test('what others have in flight counts, and fades with the age of the report', () => {
	const {picker, clock} = createPicker();
	picker.noteLoad('a', {running: 8, waiting: 2, slots: 8});
	assert.equal(spread(picker, CANDIDATES, 4).get('a'), undefined);
	clock.advance(10_000);
	assert.ok((spread(picker, CANDIDATES, 16).get('a') ?? 0) >= 3);
});

void test('a failing backend server is avoided and tried again later', () => {
	const {picker, clock} = createPicker();
	for (let i = 0; i < 4; i++) {
		picker.noteStart('a');
		picker.noteEnd('a', 'failed');
	}

	assert.equal(spread(picker, CANDIDATES, 8).get('a'), undefined);
	clock.advance(8000);
	assert.ok((spread(picker, CANDIDATES, 10).get('a') ?? 0) >= 1);
});

void test('never so many are avoided that the rest drowns', () => {
	const {picker} = createPicker();
	for (const {id} of CANDIDATES) {
		for (let i = 0; i < 4; i++) {
			picker.noteStart(id);
			picker.noteEnd(id, 'failed');
		}
	}

	assert.equal(spread(picker, CANDIDATES, 30).size, 3);
});

void test('a slow backend server gets less', () => {
	const {picker} = createPicker();
	for (const {id} of CANDIDATES) {
		picker.noteStart(id);
		picker.noteEnd(id, 'served', id === 'a' ? 400 : 100);
	}

	const counts = spread(picker, CANDIDATES, 34);
	assert.ok((counts.get('a') ?? 0) <= 3 && (counts.get('b') ?? 0) >= 7, JSON.stringify([...counts]));
});

void test('nobody is picked when there is no candidate', () => {
	const {picker} = createPicker();
	const picked = picker.pick<Candidate>([]);
	assert.equal(picked, undefined);
});

void test('that a backend server is avoided is told once, and again when it fails anew', () => {
	const {picker, clock, avoided} = createPicker();
	for (let i = 0; i < 6; i++) {
		picker.noteStart('a');
		picker.noteEnd('a', 'failed');
	}

	assert.deepEqual(avoided, ['a']);
	clock.advance(20_000);
	for (let i = 0; i < 3; i++) {
		picker.noteStart('a');
		picker.noteEnd('a', 'failed');
	}

	assert.deepEqual(avoided, ['a', 'a']);
});
