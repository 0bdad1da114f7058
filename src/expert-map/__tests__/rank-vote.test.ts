import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {createRankGroupHarness, type Network, type RankGroupHarness} from './rank-group-harness.js';

const SEED = 20_261_203;
const EPOCH = 4097;
const FROM_STEP = 30;

/** Legs of calls wait in line until the test lets them pass. */
function createHeldNetwork(isLost: (label: string) => boolean, isDoubled: (label: string) => boolean) {
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

	/** Lets the `pick`-th leg in line pass. */
	async function passOne(rig: RankGroupHarness, pick: number): Promise<void> {
		waiting.splice(pick % Math.max(1, waiting.length), 1)[0]?.go();
		await rig.flush();
	}

	return {network, waiting, passOne};
}

/** Passes all legs in order and runs steps until the group has passed `step`. */
async function runUntil(rig: RankGroupHarness, held: ReturnType<typeof createHeldNetwork>, step: number): Promise<void> {
	for (let rounds = 0; rounds < 400 && rig.ranks.some(rank => rank.engine.readState().step < step); rounds += 1) {
		for (const {go} of held.waiting.splice(0)) {
			go();
		}

		// eslint-disable-next-line no-await-in-loop
		await rig.flush();
		rig.runSteps();
	}
}

/** Passes all legs in order, without a step, until no rank has an open vote. */
async function runUntilSettled(rig: RankGroupHarness, held: ReturnType<typeof createHeldNetwork>): Promise<void> {
	for (let rounds = 0; rounds < 100 && rig.ranks.some(rank => rank.vote.isPending()); rounds += 1) {
		for (const {go} of held.waiting.splice(0)) {
			go();
		}

		// eslint-disable-next-line no-await-in-loop
		await rig.flush();
	}
}

/** Passes all legs in order, without a step, but withholds the first one with the label; gives it. */
async function passAllBut(rig: RankGroupHarness, held: ReturnType<typeof createHeldNetwork>, label: string): Promise<() => void> {
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
		await rig.flush();
	}

	assert.ok(withheld);
	return withheld;
}

function readOutcomes(rig: RankGroupHarness, epoch: number): readonly string[] {
	return rig.events.flatMap(event => event.kind === 'vote_outcome' && event.epoch === epoch ? [event.outcome] : []);
}

function readMaps(rig: RankGroupHarness): readonly number[] {
	return rig.ranks.map(rank => rank.engine.readState().mapEpoch);
}

function createQuietGroup(size: number, checksFencing = true) {
	const held = createHeldNetwork(() => false, () => false);
	return {held, rig: createRankGroupHarness(size, held.network, checksFencing)};
}

test('one expert map: without faults all ranks commit, and no step waits for a store', async () => {
	const {held, rig} = createQuietGroup(4);
	rig.table.fencingToken = undefined;
	const proposal = rig.createProposal(EPOCH, FROM_STEP, 1);
	for (const rank of rig.ranks.keys()) {
		rig.propose(rank, proposal);
	}

	await runUntil(rig, held, FROM_STEP + 2);
	rig.stop();
	assert.deepEqual(readMaps(rig), [EPOCH, EPOCH, EPOCH, EPOCH]);
	assert.equal(readOutcomes(rig, EPOCH).length, 4);
});

test('one expert map: a proposer killed after its first message is not needed to commit', async () => {
	const {held, rig} = createQuietGroup(3);
	rig.propose(0, rig.createProposal(EPOCH, FROM_STEP, 1));
	await runUntil(rig, held, FROM_STEP + 2);
	rig.stop();
	assert.deepEqual(readMaps(rig), [EPOCH, EPOCH, EPOCH]);
});

test('one expert map: an agent restarted after its yes keeps it, and learns the proposal from its peers', async () => {
	const {held, rig} = createQuietGroup(2);
	rig.killAgent(1);
	rig.propose(0, rig.createProposal(EPOCH, FROM_STEP, 1));
	await runUntil(rig, held, FROM_STEP);
	assert.equal(rig.ranks[0]!.engine.readState().hold?.epoch, EPOCH);
	// Rank 0 has said yes and waits for rank 1.
	rig.restartAgent(0);
	rig.restartAgent(1);
	rig.propose(1, {...rig.createProposal(EPOCH, FROM_STEP, 1)});
	await runUntil(rig, held, FROM_STEP + 2);
	rig.stop();
	assert.equal(new Set(readMaps(rig)).size, 1);
	assert.equal(rig.events.filter(event => event.kind === 'vote_cast' && event.rank === 0 && event.vote === 'no').length, 0);
});

test('one expert map: all agents and the proposer killed after all held still commit', async () => {
	const {held, rig} = createQuietGroup(2);
	rig.killAgent(1);
	rig.propose(0, rig.createProposal(EPOCH, FROM_STEP, 1));
	await runUntil(rig, held, FROM_STEP);
	rig.killAgent(0);
	rig.ranks[1]!.engine.order({tag: 'hold', epoch: EPOCH, fromStep: FROM_STEP}, 1);
	rig.restartAgent(0);
	rig.restartAgent(1);
	await runUntil(rig, held, FROM_STEP + 2);
	rig.stop();
	assert.deepEqual(readMaps(rig), [EPOCH, EPOCH]);
});

test('one expert map: a hold that reaches the engine after the next agent has looked blocks the group for a while only', async () => {
	const {held, rig} = createQuietGroup(2);
	rig.killAgent(1);
	rig.propose(0, rig.createProposal(EPOCH, FROM_STEP, 1));
	for (let legs = 0; legs < 100 && held.waiting.every(({label}) => label !== 'hold'); legs += 1) {
		// eslint-disable-next-line no-await-in-loop
		await held.passOne(rig, 0);
	}

	const [late] = held.waiting.splice(held.waiting.findIndex(({label}) => label === 'hold'), 1);
	rig.restartAgent(0);
	rig.restartAgent(1);
	await runUntil(rig, held, FROM_STEP - 2);
	late!.go();
	await rig.flush();
	assert.equal(rig.ranks[0]!.engine.readState().hold?.epoch, EPOCH);
	await runUntil(rig, held, FROM_STEP + 2);
	rig.stop();
	assert.ok(rig.ranks.every(({engine}) => engine.readState().step >= FROM_STEP + 2), 'the group goes on');
	assert.deepEqual(readMaps(rig), [0, 0]);
});

test('one expert map: an agent restarted before its vote makes no hold for a proposal to its former incarnation', async () => {
	const {held, rig} = createQuietGroup(2);
	const proposal = rig.createProposal(EPOCH, FROM_STEP, 1);
	rig.restartAgent(1);
	rig.propose(0, proposal);
	rig.propose(1, proposal);
	await runUntil(rig, held, FROM_STEP + 2);
	rig.stop();
	assert.deepEqual(readMaps(rig), [0, 0]);
	assert.deepEqual(new Set(readOutcomes(rig, EPOCH)), new Set(['aborted']));
});

test('one expert map: a rank whose agent is gone blocks the group and splits nothing; its next agent ends that', async () => {
	const {held, rig} = createQuietGroup(3);
	rig.killAgent(2);
	const proposal = rig.createProposal(EPOCH, FROM_STEP, 1);
	rig.propose(0, proposal);
	rig.propose(1, proposal);
	await runUntil(rig, held, FROM_STEP + 2);
	assert.equal(rig.ranks[0]!.engine.readState().step, FROM_STEP);
	rig.restartAgent(2);
	await runUntil(rig, held, FROM_STEP + 2);
	rig.stop();
	assert.deepEqual(readMaps(rig), [0, 0, 0]);
});

test('one expert map: of two proposers at once no rank holds for both, and the maps stay one', async () => {
	const {held, rig} = createQuietGroup(2);
	rig.propose(0, rig.createProposal(EPOCH, FROM_STEP, 1));
	rig.propose(1, rig.createProposal(EPOCH + 1, FROM_STEP + 2, 2));
	await runUntil(rig, held, FROM_STEP + 5);
	rig.stop();
	assert.equal(new Set(readMaps(rig)).size, 1);
	assert.equal(readOutcomes(rig, EPOCH).length, 2);
	assert.equal(readOutcomes(rig, EPOCH + 1).length, 2);
	for (const {engine} of rig.ranks) {
		const prepared = engine.done.flatMap(({order}) => order.tag === 'load_experts' ? [order.epoch] : []);
		assert.equal(new Set(prepared).size, 1, 'a rank prepares one map at a time');
	}
});

for (const checksFencing of [true, false]) {
	const kind = checksFencing ? 'checks' : 'ignores';
	test(`one expert map: the late order of a proposer past its lease is a no on an engine that ${kind} the token`, async () => {
		const {held, rig} = createQuietGroup(2, checksFencing);
		rig.table.fencingToken = 2;
		const newer = rig.createProposal(EPOCH * 2, 10, 2);
		rig.propose(0, newer);
		await runUntil(rig, held, 12);
		const late = rig.createProposal(EPOCH, FROM_STEP, 1);
		rig.propose(0, late);
		rig.propose(1, late);
		await runUntil(rig, held, FROM_STEP + 2);
		rig.stop();
		assert.deepEqual(readMaps(rig), [EPOCH * 2, EPOCH * 2]);
	});
}

test('one expert map: a restarted agent of an engine that ignores the token gives no order to take part before it knows the floor', async () => {
	const {held, rig} = createQuietGroup(2, false);
	rig.table.fencingToken = undefined;
	rig.propose(0, rig.createProposal(EPOCH, FROM_STEP, 1));
	await runUntil(rig, held, FROM_STEP + 2);
	rig.stop();
	const tags = rig.ranks.flatMap(rank => rank.engine.done.map(({order}) => order.tag));
	assert.deepEqual(new Set(tags), new Set(['forbid']));
	assert.deepEqual(readMaps(rig), [0, 0]);
});

test('one expert map: an order that ends a vote reaches an engine that has seen a newer token', async () => {
	const {held, rig} = createQuietGroup(2);
	rig.propose(0, rig.createProposal(EPOCH, FROM_STEP, 1));
	rig.propose(0, rig.createProposal(EPOCH * 5, FROM_STEP, 5));
	await runUntil(rig, held, FROM_STEP + 2);
	rig.stop();
	assert.equal(new Set(readMaps(rig)).size, 1);
	assert.equal(rig.ranks[0]!.engine.readState().step, FROM_STEP + 2);
});

test('one expert map: a restart of the group ends an open vote, and the next one commits', async () => {
	const {held, rig} = createQuietGroup(2);
	rig.killAgent(1);
	rig.propose(0, rig.createProposal(EPOCH, FROM_STEP, 1));
	await runUntil(rig, held, FROM_STEP);
	rig.restartGroup('g2');
	rig.restartAgent(1);
	await runUntilSettled(rig, held);
	rig.propose(0, rig.createProposal(EPOCH + 1, FROM_STEP, 1));
	await runUntil(rig, held, FROM_STEP + 2);
	rig.stop();
	assert.deepEqual(readMaps(rig), [EPOCH + 1, EPOCH + 1]);
});

test('one expert map: a hold that arrives after a restart of the group is no yes', async () => {
	const {held, rig} = createQuietGroup(2);
	const proposal = rig.createProposal(EPOCH, FROM_STEP, 1);
	rig.propose(0, proposal);
	rig.propose(1, proposal);
	const arrive = await passAllBut(rig, held, 'hold');
	rig.restartGroup('g2');
	arrive();
	await runUntil(rig, held, FROM_STEP + 2);
	rig.stop();
	assert.deepEqual(readMaps(rig), [0, 0]);
	assert.equal(rig.ranks[0]!.engine.readState().step, FROM_STEP + 2);
});

test('one expert map: a no of a former incarnation that arrives late does not end a hold that was read back as a yes', async () => {
	const {held, rig} = createQuietGroup(2);
	const proposal = rig.createProposal(EPOCH, FROM_STEP, 1);
	rig.propose(0, proposal);
	rig.restartAgent(1);
	rig.propose(1, proposal);
	const arrive = await passAllBut(rig, held, 'forbid');
	// The hold of the first incarnation arrives after the second one has read the engine.
	rig.ranks[1]!.engine.order({tag: 'hold', epoch: EPOCH, fromStep: FROM_STEP}, 1);
	rig.restartAgent(1);
	rig.propose(1, proposal);
	await runUntilSettled(rig, held);
	arrive();
	await runUntil(rig, held, FROM_STEP + 2);
	rig.stop();
	assert.deepEqual(readMaps(rig), [EPOCH, EPOCH]);
});

test('one expert map: a no on its way from a dead agent does not undo the yes of the next one', async () => {
	const {held, rig} = createQuietGroup(2);
	const proposal = rig.createProposal(EPOCH, FROM_STEP, 1);
	const takeLeg = async (isWanted: (label: string) => boolean) => {
		for (let legs = 0; legs < 200 && !held.waiting.some(({label}) => isWanted(label)); legs += 1) {
			// eslint-disable-next-line no-await-in-loop
			await held.passOne(rig, 0);
		}

		return held.waiting.splice(held.waiting.findIndex(({label}) => isWanted(label)), 1)[0]!;
	};

	rig.killAgent(1);
	rig.propose(0, proposal);
	const hold = await takeLeg(label => label === 'hold');
	rig.restartAgent(0);
	rig.propose(0, proposal);
	const ending = await takeLeg(label => label === 'release' || label === 'forbid');
	hold.go();
	await rig.flush();
	rig.restartAgent(0);
	rig.ranks[1]!.engine.order({tag: 'hold', epoch: EPOCH, fromStep: FROM_STEP}, 1);
	rig.restartAgent(1);
	rig.propose(0, proposal);
	rig.propose(1, proposal);
	const taking = await takeLeg(label => label === 'take_map');
	ending.go();
	await rig.flush();
	taking.go();
	await runUntil(rig, held, FROM_STEP + 2);
	rig.stop();
	assert.deepEqual(readMaps(rig), [EPOCH, EPOCH]);
});

test('one expert map: a proposal that comes again after a commit and a restart of the group records no vote against it', async () => {
	const {held, rig} = createQuietGroup(2);
	const proposal = rig.createProposal(EPOCH, FROM_STEP, 1);
	rig.propose(0, proposal);
	rig.propose(1, proposal);
	for (let legs = 0; legs < 400 && readOutcomes(rig, EPOCH).length === 0; legs += 1) {
		// Only one rank gets its map.
		const isTaken = rig.ranks.some(({engine}) => engine.done.some(({order}) => order.tag === 'take_map'));
		// eslint-disable-next-line no-await-in-loop
		await held.passOne(rig, isTaken ? held.waiting.findIndex(({label}) => label !== 'take_map') : 0);
	}

	assert.deepEqual(readOutcomes(rig, EPOCH), ['committed']);
	const slow = rig.ranks.findIndex(({engine}) => engine.readState().hold?.epoch === EPOCH);
	rig.killAgent(slow);
	rig.restartGroup('g2');
	rig.restartAgent(slow);
	rig.propose(slow, proposal);
	await runUntilSettled(rig, held);
	rig.stop();
	assert.deepEqual(new Set(readOutcomes(rig, EPOCH)), new Set(['committed']));
	assert.equal(rig.events.filter(event => event.kind === 'vote_cast' && event.vote === 'no').length, 0);
});

test('planned stop: an agent that ends while it waits for the floor gives no more calls', async () => {
	const {held, rig} = createQuietGroup(2, false);
	rig.table.fencingToken = undefined;
	rig.propose(0, rig.createProposal(EPOCH, FROM_STEP, 1));
	await runUntil(rig, held, 3);
	rig.stop();
	for (let rounds = 0; rounds < 10; rounds += 1) {
		for (const {go} of held.waiting.splice(0)) {
			go();
		}

		// eslint-disable-next-line no-await-in-loop
		await rig.flush();
	}

	assert.deepEqual(held.waiting.map(leg => leg.label), []);
});

const faultsArbitrary = fc.record({
	size: fc.integer({min: 2, max: 4}),
	checksFencing: fc.boolean(),
	// One byte for each event: which leg passes, what is lost or doubled, who restarts.
	tape: fc.array(fc.nat(255), {minLength: 300, maxLength: 700, size: 'max'}),
	fromStep: fc.integer({min: 20, max: 60}),
	hasRival: fc.boolean(),
	// Chances out of 256: of a restart in each round, of a loss and of a doubling on each leg.
	restartBelow: fc.integer({min: 0, max: 4}),
	lostBelow: fc.integer({min: 0, max: 30}),
	doubledBelow: fc.integer({min: 0, max: 40}),
	groupRestart: fc.option(fc.nat(300), {nil: undefined, freq: 1}),
});

const faultsProperty = fc.asyncProperty(faultsArbitrary, async ({
	size, checksFencing, tape, fromStep, hasRival, restartBelow, lostBelow, doubledBelow, groupRestart,
}) => {
	let at = 0;
	let isCalm = false;
	const draw = () => {
		at += 1;
		return tape[at % tape.length]!;
	};

	const held = createHeldNetwork(() => !isCalm && draw() < lostBelow, () => !isCalm && draw() < doubledBelow);
	const rig = createRankGroupHarness(size, held.network, checksFencing);
	const proposal = rig.createProposal(EPOCH, fromStep, 1);
	const rival = rig.createProposal(EPOCH * 2, fromStep + 1, 2);
	for (const [round, byte] of tape.entries()) {
		const rank = byte % size;
		rig.propose(draw() % size, hasRival && draw() < 40 ? rival : proposal);
		if (byte < restartBelow) {
			rig.restartAgent(rank);
		}

		if (round === groupRestart) {
			rig.restartGroup('g2');
		}

		if (byte % 16 === 0) {
			rig.runSteps();
		}

		// eslint-disable-next-line no-await-in-loop
		await held.passOne(rig, draw());
	}

	isCalm = true;
	for (const member of rig.ranks.keys()) {
		rig.propose(member, proposal);
	}

	await runUntil(rig, held, fromStep + 5);
	assert.ok(rig.ranks.every(member => member.engine.readState().step >= fromStep + 5), 'the group goes on');
	rig.stop();
	for (const epoch of [proposal.epoch, rival.epoch]) {
		assert.ok(new Set(readOutcomes(rig, epoch)).size <= 1, 'all ranks learn the same outcome');
	}
});

test('one expert map: no order, loss, doubling or restart makes a step run on two maps, and every vote ends', async () => {
	await fc.assert(faultsProperty, {seed: SEED, numRuns: 300, endOnFailure: true});
});

// A no in flight from a former incarnation ended a hold that had been read back as a yes.
for (const {seed, path} of [{seed: 22, path: '201'}, {seed: 33, path: '171'}]) {
	test(`one expert map: the failure found with seed ${seed} stays mended`, async () => {
		await fc.assert(faultsProperty, {
			seed, path, numRuns: 1, endOnFailure: true,
		});
	});
}
