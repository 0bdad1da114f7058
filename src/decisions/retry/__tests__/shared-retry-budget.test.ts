import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createManualClock} from '../../../core/manual-clock.js';
import {createSharedRetryBudget} from '../shared-retry-budget.js';

const TERMS = {ratio: 0.2, extra: 88, windowMillis: 10_000};

void test('all processes together stay within the common bound in any window, however the storm falls', () => {
	for (const processes of [1, 6, 43]) {
		const clock = createManualClock();
		const budgets = Array.from({length: processes}, () => createSharedRetryBudget(clock, TERMS, () => processes));
		const taken: number[] = [];
		let requests = 0;
		for (let millis = 0; millis < 30_000; millis += 100) {
			clock.advance(100);
			for (const budget of budgets) {
				if (millis % 1000 === 0) {
					budget.noteRequest();
					requests++;
				}

				const granted = [1, 2, 3, 4, 5].filter(() => budget.tryTake());
				taken.push(...granted.map(() => clock.monotonicMillis()));
			}
		}

		const requestsInWindow = requests / 3;
		for (const start of taken) {
			const inWindow = taken.filter(at => at >= start && at < start + TERMS.windowMillis).length;
			assert.ok(inWindow <= (TERMS.ratio * requestsInWindow) + TERMS.extra, `${processes} processes: ${inWindow} repeats in a window`);
		}
	}
});

void test('a rare repeat is granted at once', () => {
	const budget = createSharedRetryBudget(createManualClock(), TERMS, () => 6);
	assert.ok(budget.tryTake());
});

void test('the part shrinks when processes join', () => {
	const clock = createManualClock();
	let processes = 1;
	const budget = createSharedRetryBudget(clock, TERMS, () => processes);
	processes = 40;
	let granted = 0;
	while (budget.tryTake()) {
		granted++;
	}

	assert.ok(granted <= TERMS.extra / 40);
});
