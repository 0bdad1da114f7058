import type {LocalSystem} from '../system/local-system.js';
import type {StandInProcess} from '../system/stand-in-process.js';
import type {FaultKind} from './fault.js';

type FaultSettings = Readonly<Record<string, unknown>>;

/** Added to each answer of the slow table, in milliseconds. */
const SLOW_TABLE_DELAY_MILLIS = 400;

function createSwitchFault(name: string, selectStandIn: (system: LocalSystem) => StandInProcess, on: FaultSettings, off: FaultSettings): FaultKind {
	return {
		name,
		async inject({system}) {
			const standIn = selectStandIn(system);
			await standIn.setFaults(on);
			return {
				async heal() {
					await standIn.setFaults(off);
				},
			};
		},
	};
}

/** Faults of the platform services and of the rank group. */
export const platformFaults: readonly FaultKind[] = [
	createSwitchFault('table_outage', ({table}) => table, {outage: true}, {outage: false}),
	createSwitchFault('table_silent', ({table}) => table, {silent: true}, {silent: false}),
	createSwitchFault('table_slow', ({table}) => table, {delayMillis: SLOW_TABLE_DELAY_MILLIS}, {delayMillis: 0}),
	createSwitchFault('table_reply_lost', ({table}) => table, {replyLostShare: 0.5}, {replyLostShare: 0}),
	createSwitchFault('objects_outage', ({objects}) => objects, {outage: true}, {outage: false}),
	createSwitchFault('objects_reply_lost', ({objects}) => objects, {replyLostShare: 0.5}, {replyLostShare: 0}),
	createSwitchFault('instance_list_outage', ({instanceList}) => instanceList, {outage: true}, {outage: false}),
	createSwitchFault('weight_store_outage', ({weightStore}) => weightStore, {outage: true}, {outage: false}),
	{
		name: 'group_restart',
		async inject({system}) {
			await system.rankGroup.control('POST', 'restart-group', {});
			return {
				async heal() {
					// The group recovers by itself.
				},
			};
		},
	},
];
