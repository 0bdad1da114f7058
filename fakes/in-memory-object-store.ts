import type {Clock} from '../src/core/clock.js';
import {succeed} from '../src/core/result.js';
import {systemClock} from '../src/core/system-clock.js';
import type {ObjectStore} from '../src/ports/object-store.js';
import {createFaultControl, type FaultControl} from './faults/fault-control.js';
import {callWithFaults} from './faults/in-memory-call.js';
import {createObjectState, type ObjectState} from './state/object-state.js';

/** An in-memory object store for tests. */
export type InMemoryObjectStore = ObjectStore & Readonly<{faults: FaultControl; state: ObjectState}>;

/** Creates an empty object store. */
export function createInMemoryObjectStore(clock: Clock = systemClock): InMemoryObjectStore {
	const faults = createFaultControl();
	const state = createObjectState();
	return {
		faults,
		state,
		create: async (key, bytes) => callWithFaults(faults, clock, 'write', () => state.create(key, bytes)),
		read: async key => callWithFaults(faults, clock, 'read', () => succeed(state.read(key))),
		list: async prefix => callWithFaults(faults, clock, 'read', () => succeed(state.list(prefix))),
	};
}
