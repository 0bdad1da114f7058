import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {createRankGroupHarness, type Network, type RankGroupHarness} from './rank-group-harness.js';

const SEED = 20_261_203;
const EPOCH = 4097;
const FROM_STEP = 30;

/** Queues the legs of calls until the test lets them pass. */
function createQueuedNetwork(isLost: (label: string) => boolean, isDoubled: (label: string) => boolean) {
	const waiting: Array<Readonly<{label: string; go: () => void}>> = [];
	const network: Network = {
		isLost,
		isDoubled,
		async pass(label) {
			await new Promise<void>(resolve => {
				waiting.push({label, go: resolve});
			});
		},
	};

	/** Lets the `pick`-th queued leg pass. */
	async function passOne(harness: RankGroupHarness, pick: number): Promise<void> {
		waiting.splice(pick % Math.max(1, waiting.length), 1)[0]?.go();
		await harness.flush();
	}

	return {network, waiting, passOne};
}

/** Passes all legs in order and runs steps until the group has passed `step`. */
async function runUntil(harness: RankGroupHarness, held: ReturnType<typeof createQueuedNetwork>, step: number): Promise<void> {
	for (let rounds = 0; rounds < 400 && harness.ranks.some(rank => rank.engine.readState().step < step); rounds += 1) {
		for (const {go} of held.waiting.splice(0)) {
			go();
		}

		// eslint-disable-next-line no-await-in-loop
		await harness.flush();
		harness.runSteps();
	}
}

/** Passes all legs in order, without running a step, until no rank has a pending vote. */
async function runUntilSettled(harness: RankGroupHarness, held: ReturnType<typeof createQueuedNetwork>): Promise<void> {
	for (let rounds = 0; rounds < 100 && harness.ranks.some(rank => rank.vote.isPending()); rounds += 1) {
		for (const {go} of held.waiting.splice(0)) {
			go();
		}

		// eslint-disable-next-line no-await-in-loop
		await harness.flush();
	}
}

/** Passes all legs in order, without running a step, except the first one with the label; returns a function that passes that one. */
async function passAllBut(harness: RankGroupHarness, held: ReturnType<typeof createQueuedNetwork>, label: string): Promise<() => void> {
	let withheld: (() => void) | undefined;
	for (let rounds = 0; rounds < 20; rounds += 1) {
		for (const leg of held.waiting.splice(0)) {
			if (leg.label === label && !withheld) {
				withheld = leg.go;
			} else {
				leg.go();
			}
		}

		// eslint-disable-next-line no-await-in-loop
		await harness.flush();
	}

	assert.ok(withheld);
	return withheld;
}

function readOutcomes(harness: RankGroupHarness, epoch: number): readonly string[] {
	return harness.events.flatMap(event => event.kind === 'vote_outcome' && event.epoch === epoch ? [event.outcome] : []);
}

function readMaps(harness: RankGroupHarness): readonly number[] {
	return harness.ranks.map(rank => rank.engine.readState().mapEpoch);
}

function createFaultFreeGroup(size: number, checksFencing = true) {
	const held = createQueuedNetwork(() => false, () => false);
	return {held, harness: createRankGroupHarness(size, held.network, checksFencing)};
}

test('one expert map: without faults all ranks commit, and no step waits for a store', async () => {
	const {held, harness} = createFaultFreeGroup(4);
	harness.table.fencingToken = undefined;
	const proposal = harness.createProposal(EPOCH, FROM_STEP, 1);
	for (const rank of harness.ranks.keys()) {
		harness.propose(rank, proposal);
	}

	await runUntil(harness, held, FROM_STEP + 2);
	harness.stop();
	assert.deepEqual(readMaps(harness), [EPOCH, EPOCH, EPOCH, EPOCH]);
	assert.equal(readOutcomes(harness, EPOCH).length, 4);
});

test('one expert map: a proposer killed after its first message is not needed to commit', async () => {
	const {held, harness} = createFaultFreeGroup(3);
	harness.propose(0, harness.createProposal(EPOCH, FROM_STEP, 1));
	await runUntil(harness, held, FROM_STEP + 2);
	harness.stop();
	assert.deepEqual(readMaps(harness), [EPOCH, EPOCH, EPOCH]);
});

test('one expert map: an agent restarted after its yes keeps it, and learns the proposal from its peers', async () => {
	const {held, harness} = createFaultFreeGroup(2);
	harness.killAgent(1);
	harness.propose(0, harness.createProposal(EPOCH, FROM_STEP, 1));
	await runUntil(harness, held, FROM_STEP);
	assert.equal(harness.ranks[0]!.engine.readState().hold?.epoch, EPOCH);
	// Rank 0 has voted yes and waits for rank 1.
	harness.restartAgent(0);
	harness.restartAgent(1);
	harness.propose(1, {...harness.createProposal(EPOCH, FROM_STEP, 1)});
	await runUntil(harness, held, FROM_STEP + 2);
	harness.stop();
	assert.equal(new Set(readMaps(harness)).size, 1);
	assert.equal(harness.events.filter(event => event.kind === 'vote_cast' && event.rank === 0 && event.vote === 'no').length, 0);
});

test('one expert map: all ranks still commit when all agents and the proposer are killed once all engines hold', async () => {
	const {held, harness} = createFaultFreeGroup(2);
	harness.killAgent(1);
	harness.propose(0, harness.createProposal(EPOCH, FROM_STEP, 1));
	await runUntil(harness, held, FROM_STEP);
	harness.killAgent(0);
	harness.ranks[1]!.engine.order({tag: 'hold', epoch: EPOCH, fromStep: FROM_STEP}, 1);
	harness.restartAgent(0);
	harness.restartAgent(1);
	await runUntil(harness, held, FROM_STEP + 2);
	harness.stop();
	assert.deepEqual(readMaps(harness), [EPOCH, EPOCH]);
});

test('one expert map: a hold that reaches the engine after the next agent has read it is released, and the group goes on', async () => {
	const {held, harness} = createFaultFreeGroup(2);
	harness.killAgent(1);
	harness.propose(0, harness.createProposal(EPOCH, FROM_STEP, 1));
	for (let legs = 0; legs < 100 && held.waiting.every(({label}) => label !== 'hold'); legs += 1) {
		// eslint-disable-next-line no-await-in-loop
		await held.passOne(harness, 0);
	}

	const [late] = held.waiting.splice(held.waiting.findIndex(({label}) => label === 'hold'), 1);
	harness.restartAgent(0);
	harness.restartAgent(1);
	await runUntil(harness, held, FROM_STEP - 2);
	late!.go();
	await harness.flush();
	assert.equal(harness.ranks[0]!.engine.readState().hold?.epoch, EPOCH);
	await runUntil(harness, held, FROM_STEP + 2);
	harness.stop();
	assert.ok(harness.ranks.every(({engine}) => engine.readState().step >= FROM_STEP + 2), 'the group goes on');
	assert.deepEqual(readMaps(harness), [0, 0]);
});

test('one expert map: an agent restarted before its vote places no hold for a proposal to its former incarnation', async () => {
	const {held, harness} = createFaultFreeGroup(2);
	const proposal = harness.createProposal(EPOCH, FROM_STEP, 1);
	harness.restartAgent(1);
	harness.propose(0, proposal);
	harness.propose(1, proposal);
	await runUntil(harness, held, FROM_STEP + 2);
	harness.stop();
	assert.deepEqual(readMaps(harness), [0, 0]);
	assert.deepEqual(new Set(readOutcomes(harness, EPOCH)), new Set(['aborted']));
});

test('one expert map: a rank without an agent blocks the group but does not split its map, until the agent restarts', async () => {
	const {held, harness} = createFaultFreeGroup(3);
	harness.killAgent(2);
	const proposal = harness.createProposal(EPOCH, FROM_STEP, 1);
	harness.propose(0, proposal);
	harness.propose(1, proposal);
	await runUntil(harness, held, FROM_STEP + 2);
	assert.equal(harness.ranks[0]!.engine.readState().step, FROM_STEP);
	harness.restartAgent(2);
	await runUntil(harness, held, FROM_STEP + 2);
	harness.stop();
	assert.deepEqual(readMaps(harness), [0, 0, 0]);
});

test('one expert map: with two concurrent proposers no rank holds for both, and all ranks keep the same map', async () => {
	const {held, harness} = createFaultFreeGroup(2);
	harness.propose(0, harness.createProposal(EPOCH, FROM_STEP, 1));
	harness.propose(1, harness.createProposal(EPOCH + 1, FROM_STEP + 2, 2));
	await runUntil(harness, held, FROM_STEP + 5);
	harness.stop();
	assert.equal(new Set(readMaps(harness)).size, 1);
	assert.equal(readOutcomes(harness, EPOCH).length, 2);
	assert.equal(readOutcomes(harness, EPOCH + 1).length, 2);
	for (const {engine} of harness.ranks) {
		const prepared = engine.done.flatMap(({order}) => order.tag === 'load_experts' ? [order.epoch] : []);
		assert.equal(new Set(prepared).size, 1, 'a rank prepares one map at a time');
	}
});

for (const checksFencing of [true, false]) {
	const kind = checksFencing ? 'checks' : 'ignores';
	test(`one expert map: a delayed proposal of a proposer whose lease was taken over gets a no on an engine that ${kind} the token`, async () => {
		const {held, harness} = createFaultFreeGroup(2, checksFencing);
		harness.table.fencingToken = 2;
		const newer = harness.createProposal(EPOCH * 2, 10, 2);
		harness.propose(0, newer);
		await runUntil(harness, held, 12);
		const late = harness.createProposal(EPOCH, FROM_STEP, 1);
		harness.propose(0, late);
		harness.propose(1, late);
		await runUntil(harness, held, FROM_STEP + 2);
		harness.stop();
		assert.deepEqual(readMaps(harness), [EPOCH * 2, EPOCH * 2]);
	});
}

test('one expert map: an agent of an engine that ignores the token sends no load or hold order before it knows the fencing floor', async () => {
	const {held, harness} = createFaultFreeGroup(2, false);
	harness.table.fencingToken = undefined;
	harness.propose(0, harness.createProposal(EPOCH, FROM_STEP, 1));
	await runUntil(harness, held, FROM_STEP + 2);
	harness.stop();
	const tags = harness.ranks.flatMap(rank => rank.engine.done.map(({order}) => order.tag));
	assert.deepEqual(new Set(tags), new Set(['forbid']));
	assert.deepEqual(readMaps(harness), [0, 0]);
});

test('one expert map: an order that ends a vote is accepted by an engine that has seen a newer token', async () => {
	const {held, harness} = createFaultFreeGroup(2);
	harness.propose(0, harness.createProposal(EPOCH, FROM_STEP, 1));
	harness.propose(0, harness.createProposal(EPOCH * 5, FROM_STEP, 5));
	await runUntil(harness, held, FROM_STEP + 2);
	harness.stop();
	assert.equal(new Set(readMaps(harness)).size, 1);
	assert.equal(harness.ranks[0]!.engine.readState().step, FROM_STEP + 2);
});

test('one expert map: a restart of the group ends a pending vote, and the next vote commits', async () => {
	const {held, harness} = createFaultFreeGroup(2);
	harness.killAgent(1);
	harness.propose(0, harness.createProposal(EPOCH, FROM_STEP, 1));
	await runUntil(harness, held, FROM_STEP);
	harness.restartGroup('g2');
	harness.restartAgent(1);
	await runUntilSettled(harness, held);
	harness.propose(0, harness.createProposal(EPOCH + 1, FROM_STEP, 1));
	await runUntil(harness, held, FROM_STEP + 2);
	harness.stop();
	assert.deepEqual(readMaps(harness), [EPOCH + 1, EPOCH + 1]);
});

test('one expert map: a hold that arrives after a restart of the group does not count as a yes', async () => {
	const {held, harness} = createFaultFreeGroup(2);
	const proposal = harness.createProposal(EPOCH, FROM_STEP, 1);
	harness.propose(0, proposal);
	harness.propose(1, proposal);
	const arrive = await passAllBut(harness, held, 'hold');
	harness.restartGroup('g2');
	arrive();
	await runUntil(harness, held, FROM_STEP + 2);
	harness.stop();
	assert.deepEqual(readMaps(harness), [0, 0]);
	assert.equal(harness.ranks[0]!.engine.readState().step, FROM_STEP + 2);
});

test('one expert map: a delayed no of a former incarnation does not end a hold that was read back as a yes', async () => {
	const {held, harness} = createFaultFreeGroup(2);
	const proposal = harness.createProposal(EPOCH, FROM_STEP, 1);
	harness.propose(0, proposal);
	harness.restartAgent(1);
	harness.propose(1, proposal);
	const arrive = await passAllBut(harness, held, 'forbid');
	// The hold of the first incarnation arrives after the second incarnation has read the engine.
	harness.ranks[1]!.engine.order({tag: 'hold', epoch: EPOCH, fromStep: FROM_STEP}, 1);
	harness.restartAgent(1);
	harness.propose(1, proposal);
	await runUntilSettled(harness, held);
	arrive();
	await runUntil(harness, held, FROM_STEP + 2);
	harness.stop();
	assert.deepEqual(readMaps(harness), [EPOCH, EPOCH]);
});

test('one expert map: a no in flight from a killed agent does not undo the yes of its next incarnation', async () => {
	const {held, harness} = createFaultFreeGroup(2);
	const proposal = harness.createProposal(EPOCH, FROM_STEP, 1);
	const takeLeg = async (isWanted: (label: string) => boolean) => {
		for (let legs = 0; legs < 200 && !held.waiting.some(({label}) => isWanted(label)); legs += 1) {
			// eslint-disable-next-line no-await-in-loop
			await held.passOne(harness, 0);
		}

		return held.waiting.splice(held.waiting.findIndex(({label}) => isWanted(label)), 1)[0]!;
	};

	harness.killAgent(1);
	harness.propose(0, proposal);
	const hold = await takeLeg(label => label === 'hold');
	harness.restartAgent(0);
	harness.propose(0, proposal);
	const ending = await takeLeg(label => label === 'release' || label === 'forbid');
	hold.go();
	await harness.flush();
	harness.restartAgent(0);
	harness.ranks[1]!.engine.order({tag: 'hold', epoch: EPOCH, fromStep: FROM_STEP}, 1);
	harness.restartAgent(1);
	harness.propose(0, proposal);
	harness.propose(1, proposal);
	const taking = await takeLeg(label => label === 'take_map');
	ending.go();
	await harness.flush();
	taking.go();
	await runUntil(harness, held, FROM_STEP + 2);
	harness.stop();
	assert.deepEqual(readMaps(harness), [EPOCH, EPOCH]);
});

test('one expert map: a proposal sent again after a commit and a restart of the group records no vote against it', async () => {
	const {held, harness} = createFaultFreeGroup(2);
	const proposal = harness.createProposal(EPOCH, FROM_STEP, 1);
	harness.propose(0, proposal);
	harness.propose(1, proposal);
	for (let legs = 0; legs < 400 && readOutcomes(harness, EPOCH).length === 0; legs += 1) {
		// Once one rank has taken its map, the `take_map` order of the other rank is withheld.
		const isTaken = harness.ranks.some(({engine}) => engine.done.some(({order}) => order.tag === 'take_map'));
		// eslint-disable-next-line no-await-in-loop
		await held.passOne(harness, isTaken ? held.waiting.findIndex(({label}) => label !== 'take_map') : 0);
	}

	assert.deepEqual(readOutcomes(harness, EPOCH), ['committed']);
	const slow = harness.ranks.findIndex(({engine}) => engine.readState().hold?.epoch === EPOCH);
	harness.killAgent(slow);
	harness.restartGroup('g2');
	harness.restartAgent(slow);
	harness.propose(slow, proposal);
	await runUntilSettled(harness, held);
	harness.stop();
	assert.deepEqual(new Set(readOutcomes(harness, EPOCH)), new Set(['committed']));
	assert.equal(harness.events.filter(event => event.kind === 'vote_cast' && event.vote === 'no').length, 0);
});

test('planned stop: an agent that stops while it waits for the fencing floor makes no further calls', async () => {
	const {held, harness} = createFaultFreeGroup(2, false);
	harness.table.fencingToken = undefined;
	harness.propose(0, harness.createProposal(EPOCH, FROM_STEP, 1));
	await runUntil(harness, held, 3);
	harness.stop();
	for (let rounds = 0; rounds < 10; rounds += 1) {
		for (const {go} of held.waiting.splice(0)) {
			go();
		}

		// eslint-disable-next-line no-await-in-loop
		await harness.flush();
	}

	assert.deepEqual(held.waiting.map(leg => leg.label), []);
});

const faultsArbitrary = fc.record({
	size: fc.integer({min: 2, max: 4}),
	checksFencing: fc.boolean(),
	// One byte for each event: which leg passes, which are lost or delivered twice, which agent restarts.
	tape: fc.array(fc.nat(255), {minLength: 300, maxLength: 700, size: 'max'}),
	fromStep: fc.integer({min: 20, max: 60}),
	hasRival: fc.boolean(),
	// Probabilities out of 256: of a restart in each round, of a loss on each leg and of a second delivery of each call.
	restartBelow: fc.integer({min: 0, max: 4}),
	lostBelow: fc.integer({min: 0, max: 30}),
	doubledBelow: fc.integer({min: 0, max: 40}),
	groupRestart: fc.option(fc.nat(300), {nil: undefined, freq: 1}),
});

const faultsProperty = fc.asyncProperty(faultsArbitrary, async ({
	size, checksFencing, tape, fromStep, hasRival, restartBelow, lostBelow, doubledBelow, groupRestart,
}) => {
	let at = 0;
	let isFaultFree = false;
	const draw = () => {
		at += 1;
		return tape[at % tape.length]!;
	};

	const held = createQueuedNetwork(() => !isFaultFree && draw() < lostBelow, () => !isFaultFree && draw() < doubledBelow);
	const harness = createRankGroupHarness(size, held.network, checksFencing);
	const proposal = harness.createProposal(EPOCH, fromStep, 1);
	const rival = harness.createProposal(EPOCH * 2, fromStep + 1, 2);
	for (const [round, byte] of tape.entries()) {
		const rank = byte % size;
		harness.propose(draw() % size, hasRival && draw() < 40 ? rival : proposal);
		if (byte < restartBelow) {
			harness.restartAgent(rank);
		}

		if (round === groupRestart) {
			harness.restartGroup('g2');
		}

		if (byte % 16 === 0) {
			harness.runSteps();
		}

		// eslint-disable-next-line no-await-in-loop
		await held.passOne(harness, draw());
	}

	isFaultFree = true;
	for (const member of harness.ranks.keys()) {
		harness.propose(member, proposal);
	}

	await runUntil(harness, held, fromStep + 5);
	assert.ok(harness.ranks.every(member => member.engine.readState().step >= fromStep + 5), 'the group goes on');
	harness.stop();
	for (const epoch of [proposal.epoch, rival.epoch]) {
		assert.ok(new Set(readOutcomes(harness, epoch)).size <= 1, 'all ranks learn the same outcome');
	}
});

test('one expert map: no reordering, loss, duplication or restart makes a step run on two maps, and every vote ends', async () => {
	await fc.assert(faultsProperty, {seed: SEED, numRuns: 300, endOnFailure: true});
});

// Failure: a no in flight from a former incarnation ended a hold that had been read back as a yes.
for (const {seed, path} of [{seed: 22, path: '201'}, {seed: 33, path: '171'}]) {
	test(`one expert map: the failure found with seed ${seed} stays fixed`, async () => {
		await fc.assert(faultsProperty, {
			seed, path, numRuns: 1, endOnFailure: true,
		});
	});
}
