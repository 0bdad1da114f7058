import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {computeFairRate} from '../fair-shares.js';

const cases: ReadonlyArray<Readonly<{demands: readonly number[]; capacity: number; expected: number}>> = [
	{demands: [], capacity: 1, expected: Infinity},
	{demands: [1, 2], capacity: 4, expected: Infinity},
	{demands: [1, 9], capacity: 4, expected: 3},
	{demands: [9, 1, 9], capacity: 7, expected: 3},
	{demands: [5, 5, 5], capacity: 6, expected: 2},
];

for (const {demands, capacity, expected} of cases) {
	test(`the fair rate of demands ${demands.join(', ')} in a capacity of ${capacity} is ${expected}`, () => {
		assert.equal(computeFairRate(demands, capacity), expected);
	});
}

test('demands capped to the fair rate fill the capacity exactly, or all fit uncapped', () => {
	fc.assert(fc.property(fc.array(fc.double({min: 0.1, max: 100, noNaN: true}), {minLength: 1, maxLength: 20}), fc.double({min: 0.1, max: 500, noNaN: true}), (demands, capacity) => {
		const rate = computeFairRate(demands, capacity);
		let granted = 0;
		for (const demand of demands) {
			granted += Math.min(demand, rate);
		}

		assert.ok(granted <= capacity * 1.000_001);
		assert.ok(rate === Infinity || granted >= capacity * 0.999_999);
	}), {seed: 1});
});
