import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {createManualClock} from '../../core/manual-clock.js';
import {LOAN_TTL_MILLIS} from '../../decisions/flow/permit-loans.js';
import {createPermitQueue, type PermitQueue} from '../../decisions/flow/permit-queue.js';
import {createSeededRandom} from '../../decisions/random.js';
import {silentLog} from '../../observability/log.js';
import {MemberDatagram} from '../../wire/generated/membership.js';
import {createPermitExchange, type LoanMessage, type PermitExchange} from '../permit-exchange.js';
import {createWorld as createEntryWorld} from './entry-world.js';

const SERVICE = 's';
const STEP_MILLIS = 5;
const HOLD_MILLIS = 1000;
/** Interval between datagrams that state the spare permits, in milliseconds. */
const ADVERT_MILLIS = 500;

const EMPTY: MemberDatagram = MemberDatagram.decode(new Uint8Array());

type Entry = Readonly<{queue: PermitQueue; exchange: PermitExchange}>;
type Tag = 'admitted' | 'refused' | undefined;
type Message = Readonly<{from: string; to: string; loan: LoanMessage | undefined}>;

const countAdmitted = (tags: readonly Tag[]) => tags.filter(tag => tag === 'admitted').length;

/** Entries with queues and an exchange of datagrams that arrive after a step; addresses are the ids. */
function createWorld() {
	const clock = createManualClock();
	const random = createSeededRandom(1);
	const entries = new Map<string, Entry>();
	const joined = new Set<string>();
	const frozen = new Set<string>();
	const dead = new Set<string>();
	let underway: readonly Message[] = [];
	let isLost: (message: Message) => boolean = () => false;
	let most = 0;

	function start(id: string, permits: number): Entry {
		const exchange: PermitExchange = createPermitExchange({
			clock,
			log: silentLog,
			random,
			listPools: () => new Map([[SERVICE, queue]]),
			onChange: () => undefined,
			isActive: () => joined.has(id),
			listMembers: () => new Map([...joined].filter(other => joined.has(id) && other !== id).map(other => [other, other])),
			send(to, loan) {
				underway = [...underway, {from: id, to, loan}];
			},
		});
		const queue: PermitQueue = createPermitQueue({
			clock,
			random,
			readLimit: () => permits,
			hasPriorities: () => true,
			loans: {borrow: wanted => exchange.borrow(SERVICE, wanted), countLent: () => exchange.countLent(SERVICE)},
		});
		entries.set(id, {queue, exchange});
		joined.add(id);
		return {queue, exchange};
	}

	function deliver(): void {
		const due = underway;
		underway = due.filter(({to}) => frozen.has(to));
		for (const message of due) {
			const {from, to, loan} = message;
			const sender = entries.get(from);
			if (!frozen.has(to) && !dead.has(to) && !dead.has(from) && !isLost(message) && sender) {
				const datagram: MemberDatagram = {
					...EMPTY, sender: from, sparePermits: sender.exchange.describeSpare(), loan,
				};
				entries.get(to)?.exchange.receive(datagram, from);
			}
		}
	}

	/** Sends a request; resolves when it has got a permit or has been refused. */
	async function ask(id: string, holdMillis = HOLD_MILLIS): Promise<Tag> {
		const decision = await entries.get(id)?.queue.admit({
			account: 'a', priority: 0, onTimeWaitMillis: 200, maxWaitMillis: 200, maxHoldMillis: 8000,
		}, new AbortController().signal);
		if (decision?.tag === 'admitted') {
			void clock.sleep(holdMillis).then(decision.release);
		}

		return decision?.tag;
	}

	async function run(millis: number): Promise<void> {
		for (let i = 0; i < millis / STEP_MILLIS; i++) {
			if (clock.monotonicMillis() % ADVERT_MILLIS === 0) {
				underway = [...underway, ...[...joined].filter(id => !frozen.has(id)).flatMap(from => [...joined].filter(to => to !== from).map(to => ({from, to, loan: undefined})))];
			}

			deliver();
			// eslint-disable-next-line no-await-in-loop -- Time advances in small steps.
			await nextTurn();
			most = Math.max(most, [...entries.values()].reduce((total, {queue}) => total + queue.countInFlight(), 0));
			clock.advance(STEP_MILLIS);
		}
	}

	return {
		start, ask, run, joined, frozen, dead, readMost: () => most,
		lose(isMessageLost: (message: Message) => boolean) {
			isLost = isMessageLost;
		},
	};
}

void test('an entry without a free permit borrows one, uses it and returns it at the end of the request', async () => {
	const {start, ask, run, readMost} = createWorld();
	const small = start('small', 2);
	const large = start('large', 12);
	await run(ADVERT_MILLIS);
	const asked = Array.from({length: 5}, async () => ask('small'));
	await run(100);
	assert.deepEqual(await Promise.all(asked), Array.from({length: 5}, () => 'admitted'));
	assert.equal(large.exchange.countLent(SERVICE), 3);
	assert.equal(small.exchange.countBorrowed(SERVICE), 3);
	await run(HOLD_MILLIS + 100);
	assert.equal(large.exchange.countLent(SERVICE), 0);
	assert.ok(readMost() <= 14);
});

void test('two entries that ask for the last permit share one loan, and neither overuses the permits', async () => {
	const {start, ask, run, readMost} = createWorld();
	start('a', 1);
	start('b', 1);
	const {exchange} = start('lender', 4);
	void ask('lender', 5000);
	void ask('lender', 5000);
	await run(ADVERT_MILLIS);
	const asked = ['a', 'b'].flatMap(id => [ask(id, 3000), ask(id, 3000)]);
	await run(1000);
	assert.equal(countAdmitted(await Promise.all(asked)), 3);
	assert.equal(exchange.countLent(SERVICE), 1);
	assert.ok(readMost() <= 6);
});

void test('a lost answer leaves a permit unused until its return, or if that is lost too, until the loan expires', async () => {
	for (const lost of [['loanAnswer'], ['loanAnswer', 'loanReturn']]) {
		const {start, ask, run, lose} = createWorld();
		start('small', 1);
		const {exchange} = start('large', 10);
		/* eslint-disable no-await-in-loop -- One world at a time. */
		await run(ADVERT_MILLIS);
		lose(({loan}) => loan !== undefined && lost.includes(loan.$case));
		void ask('small');
		void ask('small');
		await run(30);
		assert.equal(exchange.countLent(SERVICE), 1);
		await run(1000);
		assert.equal(exchange.countLent(SERVICE) > 0, lost.includes('loanReturn'));
		await run(LOAN_TTL_MILLIS);
		/* eslint-enable no-await-in-loop */
		assert.equal(exchange.countLent(SERVICE), 0);
	}
});

void test('a permit lent to an entry that is killed is used again only after the loan has expired', async () => {
	const {start, ask, run, dead} = createWorld();
	start('small', 1);
	const {exchange} = start('large', 10);
	await run(ADVERT_MILLIS);
	void ask('small');
	void ask('small');
	await run(100);
	dead.add('small');
	await run(LOAN_TTL_MILLIS - 200);
	assert.equal(exchange.countLent(SERVICE), 1);
	await run(200);
	assert.equal(exchange.countLent(SERVICE), 0);
});

void test('a lender that freezes and recovers has its permits returned, and a grant that comes too late is not used', async () => {
	const {start, ask, run, frozen, readMost} = createWorld();
	const small = start('small', 1);
	const {exchange} = start('large', 10);
	await run(ADVERT_MILLIS);
	frozen.add('large');
	const asked = [ask('small'), ask('small')];
	await run(1000);
	assert.deepEqual(await Promise.all(asked), ['admitted', 'refused'], 'the borrower does not wait for a frozen lender longer than its target allows');
	frozen.delete('large');
	await run(200);
	assert.equal(exchange.countLent(SERVICE), 0);
	assert.equal(small.exchange.countBorrowed(SERVICE), 0);
	assert.ok(readMost() <= 11);
});

void test('an entry neither lends nor borrows before it has joined, and does both afterwards', async () => {
	const {start, ask, run, joined, readMost} = createWorld();
	start('a', 2);
	start('late', 8);
	joined.delete('late');
	await run(ADVERT_MILLIS);
	const early = Array.from({length: 4}, async () => ask('a', 300));
	await run(500);
	assert.equal(countAdmitted(await Promise.all(early)), 2);
	joined.add('late');
	await run(ADVERT_MILLIS);
	const late = Array.from({length: 4}, async () => ask('a', 300));
	await run(500);
	assert.equal(countAdmitted(await Promise.all(late)), 4);
	assert.ok(readMost() <= 10);
});

void test('members exchange loans in their datagrams, and an entry that is leaving lends none', async () => {
	const world = createEntryWorld();
	const given: Array<() => void> = [];
	const pool = (spare: number) => new Map([[SERVICE, {
		countSpare: () => spare,
		useLoan(_expiresAtMillis: number, giveBack: () => void) {
			given.push(giveBack);
			return true;
		},
		reexamine: () => undefined,
	}]]);
	const borrower = world.start('borrower', silentLog, {}, pool(0));
	await world.run(100);
	const lender = world.start('lender', silentLog, {}, pool(3));
	assert.equal(borrower.permits.borrow(SERVICE, 2), 0, 'nobody is known to have spare permits');
	await world.run(3000);
	borrower.permits.borrow(SERVICE, 2);
	await world.run(40);
	assert.equal(lender.permits.countLent(SERVICE), 2);
	assert.equal(borrower.permits.countBorrowed(SERVICE), 2);
	await lender.announceDraining();
	for (const giveBack of given) {
		giveBack();
	}

	await world.run(40);
	assert.equal(lender.permits.countLent(SERVICE), 0, 'a leaving lender takes its permits back');
	borrower.permits.borrow(SERVICE, 1);
	await world.run(40);
	assert.equal(lender.permits.countLent(SERVICE), 0);
});
