import type {LocalSystem} from '../system/local-system.js';
import type {StandInProcess} from '../system/stand-in-process.js';
import type {FaultKind} from './fault.js';

type Faults = Readonly<Record<string, unknown>>;

/** Delay of a slow store, in milliseconds. */
const SLOW_MILLIS = 400;

function switchFault(name: string, choose: (system: LocalSystem) => StandInProcess, on: Faults, off: Faults): FaultKind {
	return {
		name,
		async inject({system}) {
			const standIn = choose(system);
			await standIn.setFaults(on);
			return {
				async heal() {
					await standIn.setFaults(off);
				},
			};
		},
	};
}

/** Faults of the platform. */
export const platformFaults: readonly FaultKind[] = [
	switchFault('table_outage', ({table}) => table, {outage: true}, {outage: false}),
	switchFault('table_silent', ({table}) => table, {silent: true}, {silent: false}),
	switchFault('table_slow', ({table}) => table, {delayMillis: SLOW_MILLIS}, {delayMillis: 0}),
	switchFault('table_reply_lost', ({table}) => table, {replyLostShare: 0.5}, {replyLostShare: 0}),
	switchFault('objects_outage', ({objects}) => objects, {outage: true}, {outage: false}),
	switchFault('objects_reply_lost', ({objects}) => objects, {replyLostShare: 0.5}, {replyLostShare: 0}),
	switchFault('instance_list_outage', ({instanceList}) => instanceList, {outage: true}, {outage: false}),
	switchFault('weight_store_outage', ({weightStore}) => weightStore, {outage: true}, {outage: false}),
	{
		name: 'group_restart',
		async inject({system}) {
			await system.rankGroup.control('POST', 'restart-group', {});
			return {
				async heal() {
					// The group comes back by itself.
				},
			};
		},
	},
];
