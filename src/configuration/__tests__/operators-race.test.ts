import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {createTableService} from '../../../fakes/table-service.js';
import {PATIENT_TIMEOUT_MILLIS} from '../../../fakes/test-timeouts.js';
import {createHttpTableStore} from '../../adapters/http-table-store.js';
import {createLifeCycle} from '../../core/life-cycle.js';
import {systemClock} from '../../core/system-clock.js';
import {changeConfiguration} from '../change-configuration.js';
import {readStoredConfiguration} from '../configuration-row.js';
import {addPlannedStop, replaceTargets} from '../configuration-update.js';
import {createTargets} from './example-targets.js';

const OPERATORS = 8;
const CHANGES_PER_OPERATOR = 6;

async function start(ctx: TestContext) {
	const lifeCycle = createLifeCycle();
	const service = await createTableService({listen: '127.0.0.1:0'});
	lifeCycle.own('table service', service.close);
	ctx.after(async () => lifeCycle.shutdown());
	const table = createHttpTableStore({baseUrl: service.url, timeoutMillis: PATIENT_TIMEOUT_MILLIS, lifeCycle});
	const deps = {table, clock: systemClock};
	await changeConfiguration(deps, {changeId: 'first', changedBy: 'operator', update: replaceTargets(createTargets(100))});
	return {service, deps};
}

type Deps = Awaited<ReturnType<typeof start>>['deps'];

/** Announces `CHANGES_PER_OPERATOR` stops one after the other; resolves to the ids of the accepted ones. */
async function announceStops(deps: Deps, operator: number, accepted: readonly string[] = [], attempted = 0): Promise<readonly string[]> {
	if (attempted === CHANGES_PER_OPERATOR) {
		return accepted;
	}

	const id = `stop-${operator}-${attempted}`;
	const update = addPlannedStop({
		id, scope: 'instance', subject: id, announcedAt: '2026-12-03T00:00:00Z',
	});
	const result = await changeConfiguration(deps, {changeId: id, changedBy: `operator-${operator}`, update});
	assert.ok(result.ok || result.error.tag === 'conflict', 'either accepted or a conflict');
	return announceStops(deps, operator, result.ok ? [...accepted, id] : accepted, attempted + 1);
}

const cases = [
	{name: 'with every reply kept', replyLostShare: 0},
	{name: 'with every third reply lost', replyLostShare: 1 / 3},
	{name: 'with every reply lost', replyLostShare: 1},
];
for (const {name, replyLostShare} of cases) {
	test(`configuration: concurrent operators over HTTP, ${name}: exactly the accepted changes are in force`, async ctx => {
		const {service, deps} = await start(ctx);
		service.faults.set({replyLostShare});
		const operators = Array.from({length: OPERATORS}, (_, index) => index);
		const accepted = await Promise.all(operators.map(async operator => announceStops(deps, operator)));
		const stored = await readStoredConfiguration(deps.table);
		assert.ok(stored.ok && stored.value.configuration);
		const {version, plannedStops} = stored.value.configuration;
		assert.deepEqual(plannedStops.map(stop => stop.id).toSorted(), accepted.flat().toSorted());
		assert.equal(version, 1 + accepted.flat().length);
	});
}
