import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {PlannedStop} from '../../configuration/configuration.js';
import type {Instance} from '../../ports/instance-list.js';
import {findLeavingCause, isLeaving, type LeavingSources} from '../leaving-cause.js';

const subject = {id: 'agent-1', failureDomain: 'domain-a'};

function createInstance(state: Instance['state'], id = subject.id): Instance {
	return {
		...subject,
		id,
		state,
		role: 'agent',
		region: 'region-1',
		callerUrl: '',
		linkAddress: '127.0.0.1:4000',
		service: 'model',
		group: '',
		rank: -1,
	};
}

function createStop(scope: PlannedStop['scope'], name: string): PlannedStop {
	return {
		id: `stop-${name}`, scope, subject: name, announcedAt: '2026-12-03T00:00:00Z',
	};
}

const cases: ReadonlyArray<Readonly<{name: string; evidence: LeavingSources; cause: string | undefined}>> = [
	{name: 'nothing known', evidence: {instances: [], plannedStops: []}, cause: undefined},
	{name: 'listed as live', evidence: {instances: [createInstance('live')], plannedStops: []}, cause: undefined},
	{name: 'listed as leaving', evidence: {instances: [createInstance('leaving')], plannedStops: []}, cause: 'listed'},
	{
		name: 'another one listed as leaving',
		evidence: {instances: [createInstance('leaving', 'agent-2'), createInstance('live')], plannedStops: []},
		cause: undefined,
	},
	{
		name: 'stop announced, list lags',
		evidence: {instances: [createInstance('live')], plannedStops: [createStop('instance', 'agent-1')]},
		cause: 'planned_stop',
	},
	{
		name: 'stop announced before the instance is listed',
		evidence: {instances: [], plannedStops: [createStop('instance', 'agent-1')]},
		cause: 'planned_stop',
	},
	{
		name: 'stop cancelled, list lags behind the cancel',
		evidence: {instances: [createInstance('leaving')], plannedStops: []},
		cause: 'listed',
	},
	{
		name: 'stop cancelled, list caught up',
		evidence: {instances: [createInstance('live')], plannedStops: []},
		cause: undefined,
	},
	{
		name: 'leave cancelled by the platform while a stop stands',
		evidence: {instances: [createInstance('live')], plannedStops: [createStop('instance', 'agent-1')]},
		cause: 'planned_stop',
	},
	{
		name: 'stop of the failure domain',
		evidence: {instances: [createInstance('live')], plannedStops: [createStop('failure_domain', 'domain-a')]},
		cause: 'planned_stop',
	},
	{
		name: 'stop of another failure domain',
		evidence: {instances: [createInstance('live')], plannedStops: [createStop('failure_domain', 'domain-b')]},
		cause: undefined,
	},
	{
		name: 'stop of an instance named like the failure domain',
		evidence: {instances: [createInstance('live')], plannedStops: [createStop('instance', 'domain-a')]},
		cause: undefined,
	},
	{
		name: 'stop of a failure domain named like the instance',
		evidence: {instances: [createInstance('live')], plannedStops: [createStop('failure_domain', 'agent-1')]},
		cause: undefined,
	},
	{
		name: 'one of two stops cancelled',
		evidence: {instances: [], plannedStops: [createStop('instance', 'agent-2'), createStop('failure_domain', 'domain-a')]},
		cause: 'planned_stop',
	},
];
for (const {name, evidence, cause} of cases) {
	test(`leaving, ${name}: ${cause ?? 'stays'}`, () => {
		assert.equal(findLeavingCause(evidence, subject)?.tag, cause);
		assert.equal(isLeaving(evidence, subject), cause !== undefined);
	});
}
