import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {GroupExperts} from '../../ports/rank-engine.js';
import {RankOrder} from '../../wire/generated/rank.js';
import {createMapMemory, describeChange, digestMap} from '../map-change.js';
import {toOrderMessage} from '../rank-messages.js';

function mapOf(layers: number, ranks: number, experts: number): fc.Arbitrary<GroupExperts> {
	const held = fc.uniqueArray(fc.nat(experts - 1), {minLength: 1, maxLength: 4});
	const layer = fc.array(held, {minLength: ranks, maxLength: ranks});
	return fc.array(layer, {minLength: layers, maxLength: layers});
}

const twoMaps = fc.tuple(fc.integer({min: 1, max: 3}), fc.integer({min: 1, max: 5})).chain(([layers, ranks]) => fc.tuple(mapOf(layers, ranks, 9), mapOf(layers, ranks, 9)));

/** Map in which the experts are assigned in turn, and each rank has spare places. */
function createInTurn(layers: number, ranks: number, experts: number): GroupExperts {
	return Array.from({length: layers}, () => Array.from({length: ranks}, (_, rank) =>
		Array.from({length: experts}, (__, expert) => expert).filter(expert => expert % ranks === rank)));
}

void test('a change applied to its base gives the map, and to any other memory nothing', () => {
	fc.assert(fc.property(twoMaps, ([base, map]) => {
		const change = describeChange(base, map);
		assert.ok(change);
		const memory = createMapMemory();
		memory.remember(base);
		assert.deepEqual(digestMap(memory.resolve(change)!), digestMap(map));
		const other = createMapMemory();
		other.remember(map);
		if (digestMap(base) !== digestMap(map)) {
			assert.equal(other.resolve(change), undefined);
		}
	}), {numRuns: 200});
});

void test('a change that does not give the map of its digest is not applied', () => {
	const base = createInTurn(2, 4, 8);
	const map = base.map((layer, i) => layer.map((experts, rank) => i === 0 && rank === 1 ? [...experts, 0] : experts));
	const change = describeChange(base, map)!;
	const memory = createMapMemory();
	memory.remember(base);
	assert.equal(memory.resolve({...change, changes: []}), undefined);
});

void test('the first map of a group need not be sent', () => {
	const base = createInTurn(3, 5, 13);
	const map = base.map(layer => layer.map((experts, rank) => rank === 2 ? [...experts, 0] : experts));
	assert.deepEqual(createMapMemory().resolve(describeChange(base, map)!), map);
});

void test('the orders to prepare a map of a large group take a small part of the time of a switch on the planner\'s link', () => {
	const ranks = 64;
	const base = createInTurn(12, ranks, 256);
	// As many copies as a plan of the large site has.
	const map = base.map((layer, i) => layer.map((experts, rank) => (rank + i) % 12 === 0 ? [...experts, (rank + 1) % 256] : experts));
	const order = {tag: 'prepare', version: 8, experts: map} as const;
	const bytes = RankOrder.encode(toOrderMessage(order, 1, describeChange(base, map))).finish().length;
	const linkBitsPerMilli = 4200;
	const millis = bytes * 8 * (ranks - 1) / linkBitsPerMilli;
	assert.ok(millis < 150, `${millis} ms`);
});
