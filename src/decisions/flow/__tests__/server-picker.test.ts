import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createManualClock} from '../../../core/manual-clock.js';
import {createSeededRandom} from '../../random.js';
import {createServerPicker, type Candidate} from '../server-picker.js';

const CANDIDATES: readonly Candidate[] = ['a', 'b', 'c', 'd', 'e'].map(id => ({id, slots: 8, coldLeftMillis: 0}));

function createPicker() {
	const clock = createManualClock();
	const ejected: string[] = [];
	const picker = createServerPicker({
		clock,
		random: createSeededRandom(1),
		onEjected(id) {
			ejected.push(id);
		},
	});
	return {clock, picker, ejected};
}

/** Counts how often each candidate is picked when no request ends. */
function countPicks(picker: ReturnType<typeof createServerPicker>, candidates: readonly Candidate[], requests: number): ReadonlyMap<string, number> {
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
	assert.deepEqual([...countPicks(picker, CANDIDATES, 40).values()], [8, 8, 8, 8, 8]);
});

void test('requests of other processes count, with a weight that decays with the age of the report', () => {
	const {picker, clock} = createPicker();
	picker.noteLoad('a', {running: 8, waiting: 2, slots: 8});
	assert.equal(countPicks(picker, CANDIDATES, 4).get('a'), undefined);
	clock.advance(10_000);
	assert.ok((countPicks(picker, CANDIDATES, 16).get('a') ?? 0) >= 3);
});

void test('a failing backend server is ejected and tried again later', () => {
	const {picker, clock} = createPicker();
	for (let i = 0; i < 4; i++) {
		picker.noteStart('a');
		picker.noteEnd('a', 'failed');
	}

	assert.equal(countPicks(picker, CANDIDATES, 8).get('a'), undefined);
	clock.advance(8000);
	assert.ok((countPicks(picker, CANDIDATES, 10).get('a') ?? 0) >= 1);
});

void test('the number of ejected backend servers is bounded, so that the others are not overloaded', () => {
	const {picker} = createPicker();
	for (const {id} of CANDIDATES) {
		for (let i = 0; i < 4; i++) {
			picker.noteStart(id);
			picker.noteEnd(id, 'failed');
		}
	}

	assert.equal(countPicks(picker, CANDIDATES, 30).size, 3);
});

void test('a slow backend server gets fewer requests', () => {
	const {picker} = createPicker();
	for (const {id} of CANDIDATES) {
		picker.noteStart(id);
		picker.noteEnd(id, 'served', id === 'a' ? 400 : 100);
	}

	const counts = countPicks(picker, CANDIDATES, 34);
	assert.ok((counts.get('a') ?? 0) <= 3 && (counts.get('b') ?? 0) >= 7, JSON.stringify([...counts]));
});

void test('work in addition to the requests in flight steers requests away, so that a short prompt does not wait for a long one', () => {
	const {picker} = createPicker();
	picker.noteStart('b');
	assert.equal(picker.pick(CANDIDATES.slice(0, 2), ({id}) => id === 'a' ? 4 : 0)?.id, 'b');
	assert.equal(picker.pick(CANDIDATES.slice(0, 2))?.id, 'a');
});

void test('no backend server is picked when there is no candidate', () => {
	const {picker} = createPicker();
	const picked = picker.pick<Candidate>([]);
	assert.equal(picked, undefined);
});

void test('an ejection is reported once, and again when the backend server fails later', () => {
	const {picker, clock, ejected} = createPicker();
	for (let i = 0; i < 6; i++) {
		picker.noteStart('a');
		picker.noteEnd('a', 'failed');
	}

	assert.deepEqual(ejected, ['a']);
	clock.advance(20_000);
	for (let i = 0; i < 3; i++) {
		picker.noteStart('a');
		picker.noteEnd('a', 'failed');
	}

	assert.deepEqual(ejected, ['a', 'a']);
});
