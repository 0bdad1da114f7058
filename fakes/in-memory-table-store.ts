import type {Clock} from '../src/core/clock.js';
import {succeed} from '../src/core/result.js';
import {systemClock} from '../src/core/system-clock.js';
import type {TableStore} from '../src/ports/table-store.js';
import {createFaultControl, type FaultControl} from './faults/fault-control.js';
import {callWithFaults} from './faults/in-memory-call.js';
import {createTableState, type TableState} from './state/table-state.js';

/** An in-memory table service for tests. */
export type InMemoryTableStore = TableStore & Readonly<{faults: FaultControl; state: TableState}>;

/** Creates an empty table service. Several callers may share it, as with the real one. */
export function createInMemoryTableStore(clock: Clock = systemClock): InMemoryTableStore {
	const faults = createFaultControl();
	const state = createTableState();
	return {
		faults,
		state,
		read: async (table, key) => callWithFaults(faults, clock, 'read', () => succeed(state.read(table, key))),
		list: async (table, prefix) => callWithFaults(faults, clock, 'read', () => succeed(state.list(table, prefix))),
		transact: async tx => callWithFaults(faults, clock, 'write', () => state.transact(tx)),
	};
}
