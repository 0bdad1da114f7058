import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {match} from 'ts-pattern';
import {MemberStatus} from '../../wire/generated/membership.js';
import {createSimulatedGroup, DEAD_MILLIS, type SimulatedGroup} from './simulated-group.js';

/** Time in which all nodes that start together must know each other, in milliseconds. */
const JOIN_MILLIS = 3000;
/** Time in which the views must agree after the last fault, in milliseconds. */
const SETTLE_MILLIS = 8000;

const EMPTY_DATAGRAM = {
	sender: '', generation: 0, incarnation: 0, digest: 0, store: undefined, claims: [], body: undefined, crashDigest: 0, crashes: [], limitDigest: 0, limits: [], sparePermits: [], loan: undefined,
};

function othersThan(id: string, ids: readonly string[]): readonly string[] {
	return ids.filter(other => other !== id).toSorted();
}

function assertAllListed(group: SimulatedGroup, live: readonly string[], message: string): void {
	for (const id of live) {
		assert.deepEqual(group.listed(id), othersThan(id, live), `${message}: as ${id} believes`);
	}
}

for (const size of [2, 3, 8, 34, 99]) {
	void test(`${size} entries that start together know each other, and a dead one is dropped by all within the bound`, () => {
		const group = createSimulatedGroup({seed: size, size});
		group.run(JOIN_MILLIS);
		assertAllListed(group, group.ids, 'after the start');
		group.kill('n0');
		group.run(DEAD_MILLIS);
		assertAllListed(group, group.ids.filter(id => id !== 'n0'), 'after the death');
	});
}

void test('the datagrams of an entry do not grow with the number of entries', () => {
	const rates = [15, 34, 99].map(size => {
		const group = createSimulatedGroup({seed: 5, size});
		group.run(10_000);
		const before = group.countSent();
		group.run(20_000);
		return (group.countSent().sent - before.sent) / size / 20;
	});
	for (const rate of rates) {
		assert.ok(rate < 10, `${rate} datagrams a second`);
		assert.ok(Math.abs(rate - (rates[0] ?? 0)) < 1, `${rate} at one size, ${rates[0]} at another`);
	}
});

void test('when many entries die at once, the survivors drop all of them within the bound', () => {
	for (const seed of [1, 2, 3, 4, 5, 6]) {
		const group = createSimulatedGroup({seed, size: 60});
		group.run(JOIN_MILLIS);
		const dead = new Set(group.ids.filter(() => group.random() < 0.5));
		for (const id of dead) {
			group.kill(id);
		}

		group.run(DEAD_MILLIS);
		assertAllListed(group, group.ids.filter(id => !dead.has(id)), `seed ${seed}`);
	}
});

void test('all entries die and start again: none of the dead is listed, all of the new ones are', () => {
	const group = createSimulatedGroup({seed: 9, size: 30});
	group.run(JOIN_MILLIS);
	for (const id of group.ids) {
		group.kill(id);
	}

	group.run(1000);
	const back = group.ids.slice(0, 20);
	for (const id of back) {
		group.start(id);
	}

	group.run(JOIN_MILLIS);
	assertAllListed(group, back, 'after the restart');
});

for (const seed of [11, 12, 13, 14, 15, 16, 17, 18]) {
	void test(`each side of a partition lists only itself; when it heals, no live entry is dropped, and all are listed soon (seed ${seed})`, () => {
		const group = createSimulatedGroup({seed, size: 20, lossShare: seed % 2 === 0 ? 0.02 : 0});
		group.run(JOIN_MILLIS);
		const left = new Set(group.ids.slice(0, 7));
		group.setNetwork((from, to) => left.has(from) === left.has(to));
		group.run(DEAD_MILLIS);
		assertAllListed(group, group.ids.slice(0, 7), 'the smaller side');
		assertAllListed(group, group.ids.slice(7), 'the larger side');
		group.setNetwork(() => true);
		for (let i = 0; i < 30; i++) {
			group.run(100);
			for (const id of group.ids) {
				const side = left.has(id) ? group.ids.slice(0, 7) : group.ids.slice(7);
				assert.deepEqual(othersThan(id, side).filter(other => !group.listed(id).includes(other)), [], `${id} after ${i * 100} ms`);
			}
		}

		assertAllListed(group, group.ids, 'after the partition');
	});
}

void test('an entry that was cut off does not make the others doubt each other when it returns', () => {
	const group = createSimulatedGroup({seed: 12, size: 20});
	group.run(JOIN_MILLIS);
	group.setNetwork((from, to) => from !== 'n3' && to !== 'n3');
	group.run(DEAD_MILLIS);
	assert.deepEqual(group.listed('n3'), [], 'it lists nobody whom it cannot reach');
	const before = new Map(group.ids.map(id => [id, group.read(id)?.readSelf().incarnation]));
	group.setNetwork(() => true);
	group.run(JOIN_MILLIS);
	assertAllListed(group, group.ids, 'after the return');
	const refuted = group.ids.filter(id => group.read(id)?.readSelf().incarnation !== before.get(id));
	assert.deepEqual(refuted, ['n3'], 'only the one that was cut off had to refute a suspicion');
});

void test('an entry that can send but not receive is dropped', () => {
	const group = createSimulatedGroup({seed: 13, size: 10});
	group.run(JOIN_MILLIS);
	group.setNetwork((_from, to) => to !== 'n4');
	group.run(DEAD_MILLIS);
	for (const id of othersThan('n4', group.ids)) {
		assert.ok(!group.listed(id).includes('n4'), `as ${id} believes`);
	}
});

void test('an entry whose path to one other fails is not dropped, because others reach it', () => {
	const group = createSimulatedGroup({seed: 14, size: 10});
	group.run(JOIN_MILLIS);
	group.setNetwork((from, to) => !(from === 'n1' && to === 'n2') && !(from === 'n2' && to === 'n1'));
	for (let i = 0; i < 200; i++) {
		group.run(100);
		assertAllListed(group, group.ids, `after ${i * 100} ms`);
	}
});

void test('an entry that wakes after a freeze accuses nobody and is listed again', () => {
	const group = createSimulatedGroup({seed: 15, size: 10});
	group.run(JOIN_MILLIS);
	group.freeze('n5', 6000);
	group.run(5500);
	for (const id of othersThan('n5', group.ids)) {
		assert.ok(!group.listed(id).includes('n5'), `the frozen one is dropped, as ${id} believes`);
	}

	for (let i = 0; i < 25; i++) {
		group.run(100);
		for (const id of othersThan('n5', group.ids)) {
			assert.deepEqual(othersThan(id, othersThan('n5', group.ids)).filter(other => !group.listed(id).includes(other)), []);
		}
	}

	assertAllListed(group, group.ids, 'after the freeze');
});

void test('an entry that outlived all others does not vouch for the dead to one that starts again', () => {
	for (const seed of [1, 2, 3, 4, 5, 6]) {
		const group = createSimulatedGroup({seed, size: 3});
		group.run(JOIN_MILLIS);
		group.kill('n1');
		group.kill('n2');
		group.run(DEAD_MILLIS);
		group.start('n1');
		for (let i = 0; i < 40; i++) {
			group.run(100);
			assert.ok(!group.listed('n0').includes('n2'), `seed ${seed}: as n0 believes after ${i * 100} ms`);
			assert.ok(!group.listed('n1').includes('n2'), `seed ${seed}: as n1 believes after ${i * 100} ms`);
		}

		assertAllListed(group, ['n0', 'n1'], `seed ${seed}`);
	}
});

void test('a late datagram of an earlier start neither revives it nor displaces the later one', () => {
	const group = createSimulatedGroup({seed: 16, size: 5});
	group.run(JOIN_MILLIS);
	const stale = group.read('n2')!.readSelf();
	const late = {
		...EMPTY_DATAGRAM, sender: 'n2', generation: stale.generation, claims: [{...stale, incarnation: 50}],
	};
	group.kill('n2');
	group.run(DEAD_MILLIS);
	group.replay('n1', {...late, claims: [stale]}, 'n2');
	assert.ok(!group.listed('n1').includes('n2'), 'the dead one stays dead');
	group.start('n2');
	group.run(JOIN_MILLIS);
	group.replay('n1', late, 'n2');
	group.run(1000);
	assertAllListed(group, group.ids, 'the later start is the member');
	assert.ok(group.read('n1')!.list(group.now()).find(({claim}) => claim.id === 'n2')!.claim.generation > stale.generation);
});

void test('an entry that leaves is dropped at once and does not return, whatever is said of it', () => {
	const group = createSimulatedGroup({seed: 17, size: 30});
	group.run(JOIN_MILLIS);
	const alive = group.read('n3')!.readSelf();
	group.leave('n3');
	group.run(600);
	const rest = othersThan('n3', group.ids);
	for (const id of rest) {
		assert.ok(!group.listed(id).includes('n3'), `as ${id} believes`);
	}

	group.replay('n1', {
		...EMPTY_DATAGRAM, sender: 'n9', generation: group.read('n9')!.readSelf().generation, claims: [{...alive, incarnation: 90, status: MemberStatus.ALIVE}],
	}, 'n9');
	group.run(2000);
	assert.ok(!group.listed('n1').includes('n3'));
});

void test('views agree with the truth after any series of faults', () => {
	const fault = fc.record({
		kind: fc.constantFrom('kill' as const, 'restart' as const, 'freeze' as const, 'partition' as const, 'leave' as const),
		victim: fc.nat(11),
		pauseMillis: fc.integer({min: 100, max: 5000}),
	});
	fc.assert(fc.property(
		fc.record({
			seed: fc.nat(100_000), size: fc.integer({min: 2, max: 12}), loss: fc.integer({min: 0, max: 10}), delay: fc.integer({min: 1, max: 60}),
		}),
		fc.array(fault, {minLength: 1, maxLength: 6}),
		({seed, size, loss, delay}, faults) => {
			const group = createSimulatedGroup({
				seed, size, lossShare: loss / 100, duplicateShare: 0.05, maxDelayMillis: delay,
			});
			group.run(JOIN_MILLIS);
			const gone = new Set<string>();
			for (const {kind, victim, pauseMillis} of faults) {
				const id = `n${victim % size}`;
				match(kind)
					.with('kill', () => {
						group.kill(id);
						gone.add(id);
					})
					.with('restart', () => {
						group.kill(id);
						group.start(id);
						gone.delete(id);
					})
					.with('leave', () => {
						group.leave(id);
						gone.add(id);
					})
					.with('freeze', () => {
						group.freeze(id, pauseMillis);
					})
					.with('partition', () => {
						const isLeft = (node: string) => Number(node.slice(1)) <= victim;
						group.setNetwork((from, to) => isLeft(from) === isLeft(to));
					})
					.exhaustive();
				group.run(pauseMillis);
				group.setNetwork(() => true);
			}

			group.run(SETTLE_MILLIS);
			// Losses go on, so that a member may be under suspicion at any moment; what counts is who is listed.
			assertAllListed(group, group.ids.filter(id => !gone.has(id)), 'at the end');
		},
	), {numRuns: 60, seed: 20_261_204});
});

void test('lost datagrams do not delay the discovery of a death', () => {
	for (let seed = 0; seed < 12; seed++) {
		const group = createSimulatedGroup({seed, size: 9, lossShare: 0.02});
		group.run(JOIN_MILLIS + 8000);
		group.kill('n7');
		group.setNetwork((from, to) => (from === 'n8') === (to === 'n8'));
		group.run(DEAD_MILLIS);
		assert.deepEqual(group.listed('n8'), [], `seed ${seed}`);
	}
});

void test('no entry that has run for the time of the bound names one that has been dead for longer', () => {
	const fault = fc.record({
		kind: fc.constantFrom('kill' as const, 'restart' as const, 'partition' as const),
		victim: fc.nat(11),
		pauseMillis: fc.integer({min: 100, max: 6000}),
	});
	fc.assert(fc.property(
		fc.record({seed: fc.nat(100_000), size: fc.integer({min: 2, max: 12}), loss: fc.integer({min: 0, max: 2})}),
		fc.array(fault, {minLength: 1, maxLength: 8}),
		({seed, size, loss}, faults) => {
			const group = createSimulatedGroup({seed, size, lossShare: loss / 100});
			group.run(JOIN_MILLIS);
			const deadSince = new Map<string, number>();
			const startedAt = new Map<string, number>(group.ids.map(id => [id, 0]));
			const check = () => {
				for (const id of group.runningIds()) {
					const hasRunLong = group.now() - (startedAt.get(id) ?? 0) > DEAD_MILLIS;
					const named = group.listed(id).filter(other => group.now() - (deadSince.get(other) ?? Infinity) > DEAD_MILLIS);
					assert.deepEqual(hasRunLong ? named : [], [], `${id} at ${group.now()} ms`);
				}
			};

			for (const {kind, victim, pauseMillis} of faults) {
				const id = `n${victim % size}`;
				group.kill(id);
				deadSince.set(id, deadSince.get(id) ?? group.now());
				if (kind === 'restart') {
					group.start(id);
					startedAt.set(id, group.now());
					deadSince.delete(id);
				} else if (kind === 'partition') {
					const isLeft = (node: string) => Number(node.slice(1)) <= victim;
					group.setNetwork((from, to) => isLeft(from) === isLeft(to));
				}

				for (let millis = 0; millis < pauseMillis; millis += 250) {
					group.run(250);
					check();
				}

				group.setNetwork(() => true);
			}
		},
	), {numRuns: 60, seed: 20_261_204});
});
