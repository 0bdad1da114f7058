import {pickOne} from '../../src/decisions/random.js';
import type {DaemonProcess} from '../system/daemon-process.js';
import type {LocalSystem} from '../system/local-system.js';
import type {ManagedProcess} from '../system/managed-process.js';
import type {ActiveFault, FaultContext, FaultKind} from './fault.js';

type SelectProcesses = (system: LocalSystem) => readonly ManagedProcess[];

const NOTHING_INJECTED: ActiveFault = {
	async heal() {
		// No fault was injected.
	},
};

/** Processes that run; one that is down was stopped by another fault, which starts it again. */
function listRunning(select: SelectProcesses, {system}: FaultContext): readonly ManagedProcess[] {
	return select(system).filter(managed => managed.pid() !== undefined);
}

/** Kills a process, and starts it again when the fault ends. */
function createKillFault(name: string, select: SelectProcesses): FaultKind {
	return {
		name,
		async inject(ctx) {
			const victim = pickOne(listRunning(select, ctx), ctx.random);
			if (!victim) {
				return NOTHING_INJECTED;
			}

			victim.signal('SIGKILL');
			await victim.waitEnd();
			return {
				async heal() {
					victim.launch();
					await victim.waitReady();
				},
			};
		},
	};
}

/** Pauses a process, and resumes it when the fault ends. */
function createFreezeFault(name: string, select: SelectProcesses): FaultKind {
	return {
		name,
		async inject(ctx) {
			const victim = pickOne(listRunning(select, ctx), ctx.random);
			victim?.signal('SIGSTOP');
			return {
				async heal() {
					victim?.signal('SIGCONT');
				},
			};
		},
	};
}

/** Sends SIGTERM twice. The process must exit by itself with exit code 0; it is started again when the fault ends. */
function createStopFault(name: string, select: SelectProcesses): FaultKind {
	return {
		name,
		async inject(ctx) {
			const victim = pickOne(listRunning(select, ctx), ctx.random);
			if (!victim) {
				return NOTHING_INJECTED;
			}

			const exited = victim.waitEnd();
			victim.signal('SIGTERM');
			victim.signal('SIGTERM');
			return {
				async heal() {
					victim.signal('SIGCONT');
					const end = await exited;
					if (end.code !== 0 && end.signal !== 'SIGKILL') {
						ctx.reportBreach(`stop_cuts_nothing_off: ${victim.name} ended with ${JSON.stringify(end)}`);
					}

					if (victim.pid() === undefined) {
						victim.launch();
						await victim.waitReady();
					}
				},
			};
		},
	};
}

const entries = (system: LocalSystem): readonly DaemonProcess[] => system.entries;
const engineAgents = (system: LocalSystem): readonly DaemonProcess[] => system.engineAgents;
const plainAgents = (system: LocalSystem): readonly DaemonProcess[] => system.plainAgents;
const engines: SelectProcesses = system => system.engines;

/** Kills, pauses and stops of processes. */
export const processFaults: readonly FaultKind[] = [
	createKillFault('kill_entry', entries),
	createKillFault('kill_engine_agent', engineAgents),
	createKillFault('kill_plain_agent', plainAgents),
	createKillFault('kill_engine', engines),
	createFreezeFault('freeze_entry', entries),
	createFreezeFault('freeze_engine_agent', engineAgents),
	createFreezeFault('freeze_plain_agent', plainAgents),
	createFreezeFault('freeze_engine', engines),
	createStopFault('stop_entry', entries),
	createStopFault('stop_engine_agent', engineAgents),
	createStopFault('stop_plain_agent', plainAgents),
];
