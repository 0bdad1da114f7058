import type {Clock} from '../src/core/clock.js';
import {fail, succeed} from '../src/core/result.js';
import {systemClock} from '../src/core/system-clock.js';
import type {Instance, InstanceList} from '../src/ports/instance-list.js';
import {createFaultControl, type FaultControl} from './faults/fault-control.js';
import {callWithFaults} from './faults/in-memory-call.js';
import {createLaggingValue, type LaggingValue} from './state/lagging-value.js';

/** An in-memory instance list for tests. */
export type InMemoryInstanceList = InstanceList & Readonly<{
	faults: FaultControl;
	state: LaggingValue<readonly Instance[]>;
}>;

/** Creates a list that shows `instances` immediately and later changes after `lagMillis`. */
export function createInMemoryInstanceList(
	instances: readonly Instance[],
	lagMillis = 0,
	clock: Clock = systemClock,
): InMemoryInstanceList {
	const faults = createFaultControl();
	const state = createLaggingValue(clock, instances, lagMillis);
	return {
		faults,
		state,
		async list() {
			const result = await callWithFaults<readonly Instance[], never>(faults, clock, 'read', () => succeed(state.read()));
			return result.ok ? result : fail({tag: 'unavailable', detail: result.error.detail});
		},
	};
}
