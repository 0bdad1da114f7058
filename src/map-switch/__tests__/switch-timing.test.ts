import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSeededRandom} from '../../decisions/random.js';
import {MAX_LEAD_STEPS, MIN_ANSWER_TIMEOUT_MILLIS} from '../map-switch-constants.js';
import {createSwitchTiming} from '../switch-timing.js';

/** Pass of a loaded group, in milliseconds. */
const PASS_MILLIS = 50;

void test('a group whose orders are answered fast switches at the nearest pass', () => {
	const timing = createSwitchTiming();
	for (let i = 0; i < 12; i++) {
		timing.noteAnswer(5);
		timing.noteSwitch(35 + (i % 2));
	}

	assert.equal(timing.chooseLeadSteps(PASS_MILLIS, 5), 2);
});

void test('a group of 72 ranks that takes 80 to 117 ms is held at a pass that does not begin before', () => {
	const timing = createSwitchTiming();
	const random = createSeededRandom(3);
	let late = 0;
	for (let i = 0; i < 200; i++) {
		const tookMillis = 80 + (37 * random());
		const earliestMillis = (timing.chooseLeadSteps(PASS_MILLIS, 5) - 1) * PASS_MILLIS;
		late += Number(i > 4 && earliestMillis < tookMillis);
		timing.noteSwitch(tookMillis);
	}

	assert.ok(late <= 10, `${late} of 200 switches would hold the group up`);
	assert.ok(timing.chooseLeadSteps(PASS_MILLIS, 5) <= 4);
});

void test('unanswered orders of a switch lengthen its own lead, and the next ones return to the nearest pass', () => {
	const timing = createSwitchTiming();
	for (let i = 0; i < 12; i++) {
		timing.noteAnswer(6);
		timing.noteSwitch(40);
	}

	assert.ok(timing.chooseLeadSteps(PASS_MILLIS, 120) > timing.chooseLeadSteps(PASS_MILLIS, 5));
	for (let i = 0; i < 4; i++) {
		timing.noteSwitch(300);
	}

	assert.ok(timing.chooseLeadSteps(PASS_MILLIS, 5) >= 6);
	assert.ok(timing.chooseLeadSteps(1, 900) <= MAX_LEAD_STEPS);
	for (let i = 0; i < 16; i++) {
		timing.noteSwitch(40);
	}

	assert.ok(timing.chooseLeadSteps(PASS_MILLIS, 5) <= 3);
});

void test('the first switch of a large group is not due before all its ranks can be armed', () => {
	const timing = createSwitchTiming();
	timing.noteAnswer(8);
	assert.ok((timing.chooseLeadSteps(PASS_MILLIS, 430) - 1) * PASS_MILLIS >= 430);
});

void test('an idle group, whose passes have no pace, gets the shortest lead, and no order is sent again within a network delay', () => {
	const timing = createSwitchTiming();
	assert.equal(timing.chooseLeadSteps(undefined, 5), 2);
	timing.noteAnswer(1);
	assert.ok(timing.readAnswerTimeoutMillis() >= MIN_ANSWER_TIMEOUT_MILLIS);
});
