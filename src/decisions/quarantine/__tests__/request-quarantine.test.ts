import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createManualClock} from '../../../core/manual-clock.js';
import type {RequestContent} from '../crash-record.js';
import {readFindingKey} from '../finding.js';
import {createRequestQuarantine} from '../request-quarantine.js';
import {
	DOUBTFUL_QUARANTINE_MILLIS, MAX_CRASHES, QUARANTINE_MILLIS,
} from '../quarantine-constants.js';

/** A request with these parts that is not sent again. */
const prompt = (...parts: readonly string[]): RequestContent => ({parts, fingerprint: `fingerprint of ${parts.join(' ')}`});

function createQuarantine() {
	const clock = createManualClock();
	const events: string[] = [];
	const quarantine = createRequestQuarantine({
		clock,
		onFound(finding) {
			events.push(`found ${readFindingKey(finding)} ${finding.crashes.length}`);
		},
		onReleased(finding) {
			events.push(`released ${readFindingKey(finding)}`);
		},
	});
	let crashes = 0;

	/** Sends a request that is lost 100 ms later, when its backend server crashes. */
	function crash(...parts: readonly string[]): void {
		crashes++;
		const sentAtMillis = clock.monotonicMillis();
		clock.advance(100);
		quarantine.noteLost({server: `s${crashes}`, incarnation: crashes}, {...prompt(...parts), attemptId: `a${crashes}`, sentAtMillis});
		clock.advance(1);
	}

	return {
		...quarantine, clock, crash, events,
	};
}

void test('requests with a part are refused after three crashes, and those that share the other parts are not', () => {
	const {crash, noteSound, judge, clock} = createQuarantine();
	noteSound(prompt('sys', 'doc', 'y1'));
	crash('sys', 'doc', 'bad', 'x1');
	crash('sys', 'doc', 'bad', 'x2');
	assert.equal(judge(prompt('sys', 'doc', 'bad', 'x3')).tag, 'clear');
	crash('sys', 'doc', 'bad', 'x3');
	const verdict = judge(prompt('sys', 'other', 'bad', 'x4'));
	assert.equal(verdict.tag, 'quarantined');
	assert.ok(verdict.tag === 'quarantined' && verdict.leftMillis <= QUARANTINE_MILLIS && verdict.leftMillis > QUARANTINE_MILLIS - 1000);
	assert.equal(judge(prompt('sys', 'doc', 'y2')).tag, 'clear');
	assert.equal(judge(prompt()).tag, 'clear');
	clock.advance(QUARANTINE_MILLIS);
	assert.equal(judge(prompt('sys', 'bad', 'x5')).tag, 'probe');
});

void test('after a quarantine, one request at a time is a probe, and a further crash doubles the quarantine', () => {
	const {crash, judge, tryProbe, clock} = createQuarantine();
	crash('bad', 'x1');
	crash('bad', 'x2');
	crash('bad', 'x3');
	clock.advance(QUARANTINE_MILLIS);
	const verdict = judge(prompt('bad', 'x4'));
	assert.ok(verdict.tag === 'probe');
	const release = tryProbe(verdict.finding);
	assert.ok(release);
	assert.equal(tryProbe(verdict.finding), undefined, 'another one is under way');
	crash('bad', 'x4');
	release();
	const again = judge(prompt('bad', 'x5'));
	assert.ok(again.tag === 'quarantined' && again.leftMillis > QUARANTINE_MILLIS);
});

void test('an answer on a quarantined part releases it', () => {
	const {crash, noteSound, judge, events} = createQuarantine();
	crash('doc', 'x1');
	crash('doc', 'x2');
	crash('doc', 'x3');
	assert.equal(judge(prompt('doc', 'x4')).tag, 'quarantined');
	noteSound(prompt('doc', 'x0'));
	assert.equal(judge(prompt('doc', 'x4')).tag, 'clear');
	assert.deepEqual(events, ['found doc 3', 'released doc']);
});

void test('of two parts that were never seen apart, a request with one of them is a probe', () => {
	const {crash, noteSound, judge} = createQuarantine();
	crash('doc', 'bad', 'x1');
	crash('doc', 'bad', 'x2');
	crash('doc', 'bad', 'x3');
	assert.equal(judge(prompt('doc', 'bad', 'x4')).tag, 'quarantined');
	assert.equal(judge(prompt('doc', 'x5')).tag, 'probe');
	noteSound(prompt('doc', 'x5'));
	assert.equal(judge(prompt('doc', 'x6')).tag, 'clear');
	assert.equal(judge(prompt('other', 'bad', 'x7')).tag, 'quarantined');
});

void test('what an entry missed is merged in any order and leads to the same view', () => {
	const one = createQuarantine();
	const other = createQuarantine();
	one.crash('sys', 'bad', 'x1');
	one.crash('sys', 'bad', 'x2');
	one.crash('sys', 'bad', 'x3');
	one.noteSound(prompt('sys', 'y1'));
	assert.notEqual(one.readDigest(), other.readDigest());
	other.clock.advance(one.clock.monotonicMillis());
	for (const record of one.listCrashes().toReversed()) {
		other.merge([{...record, lost: []}]);
		other.merge([record, record]);
	}

	assert.equal(one.readDigest(), other.readDigest());
	assert.equal(other.judge(prompt('sys', 'bad', 'x4')).tag, 'quarantined');
	assert.equal(other.judge(prompt('sys', 'y3')).tag, 'clear');
});

void test('an entry that has seen a sound answer since a crash tells the others', () => {
	const one = createQuarantine();
	const other = createQuarantine();
	const told: string[] = [];
	other.registerListener(records => {
		told.push(...records.flatMap(({soundParts}) => [...soundParts]));
	});
	one.crash('doc', 'x1');
	other.clock.advance(one.clock.monotonicMillis());
	other.noteSound(prompt('doc', 'y1'));
	other.merge(one.listCrashes());
	assert.deepEqual(told, ['doc']);
});

void test('the number of remembered crashes is bounded, and those that explain a quarantine are kept', () => {
	const {crash, judge, listCrashes} = createQuarantine();
	crash('bad', 'x1');
	crash('bad', 'x2');
	crash('bad', 'x3');
	for (let i = 0; i < MAX_CRASHES * 2; i++) {
		crash(`doc${i}`, `y${i}`);
	}

	assert.equal(listCrashes().length, MAX_CRASHES);
	assert.equal(judge(prompt('bad', 'x4')).tag, 'quarantined');
});

void test('a part that another entry knew to be sound is quarantined after a fourth crash, for a short time', () => {
	const one = createQuarantine();
	const other = createQuarantine();
	other.noteSound(prompt('doc', 'y0'));
	for (const own of ['x1', 'x2', 'x3']) {
		one.crash('doc', own);
		other.clock.advance(101);
		other.merge(one.listCrashes());
		one.merge(other.listCrashes());
	}

	assert.equal(one.judge(prompt('doc', 'x4')).tag, 'clear');
	one.crash('doc', 'x4');
	other.clock.advance(101);
	other.merge(one.listCrashes());
	one.merge(other.listCrashes());
	const verdict = one.judge(prompt('doc', 'x5'));
	assert.ok(verdict.tag === 'quarantined' && verdict.leftMillis <= 4 * DOUBTFUL_QUARANTINE_MILLIS);
	assert.equal(one.readDigest(), other.readDigest());
});

void test('while many backend servers crash at once, the findings are made again only for a share of the time', () => {
	let nowMillis = 0;
	let reads = 0;
	// Each reading of the clock takes 1 ms, so that each making of the findings seems to take some.
	const clock = {
		...createManualClock(), monotonicMillis() {
			reads++;
			nowMillis++;
			return nowMillis;
		},
	};
	let found = 0;
	const quarantine = createRequestQuarantine({
		clock,
		onFound() {
			found++;
		},
		onReleased: () => undefined,
	});
	for (let i = 0; i < 200; i++) {
		const sentAtMillis = clock.monotonicMillis();
		quarantine.noteLost({server: `s${i}`, incarnation: i}, {...prompt('bad', `x${i}`), attemptId: `a${i}`, sentAtMillis});
		quarantine.judge(prompt('bad', `y${i}`));
	}

	assert.ok(found > 0 && found < 150, `${found} findings in ${reads} ms`);
	assert.equal(quarantine.judge(prompt('bad', 'y')).tag, 'quarantined');
});
