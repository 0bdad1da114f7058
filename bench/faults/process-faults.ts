import {pickOne} from '../../src/decisions/random.js';
import type {DaemonProcess} from '../system/daemon-process.js';
import type {LocalSystem} from '../system/local-system.js';
import type {ManagedProcess} from '../system/managed-process.js';
import type {ActiveFault, FaultContext, FaultKind} from './fault.js';

type Choose = (system: LocalSystem) => readonly ManagedProcess[];

const NOTHING: ActiveFault = {
	async heal() {
		// Nothing was brought about.
	},
};

/** Processes that run; one that is down already is the business of another fault. */
function running(choose: Choose, {system}: FaultContext): readonly ManagedProcess[] {
	return choose(system).filter(managed => managed.pid() !== undefined);
}

/** The process is killed and started again when the fault ends. */
function killFault(name: string, choose: Choose): FaultKind {
	return {
		name,
		async inject(ctx) {
			const victim = pickOne(running(choose, ctx), ctx.random);
			if (!victim) {
				return NOTHING;
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

/** The process stands still, and goes on where it was when the fault ends. */
function freezeFault(name: string, choose: Choose): FaultKind {
	return {
		name,
		async inject(ctx) {
			const victim = pickOne(running(choose, ctx), ctx.random);
			victim?.signal('SIGSTOP');
			return {
				async heal() {
					victim?.signal('SIGCONT');
				},
			};
		},
	};
}

/** The process is told to stop, and must end by itself with exit code 0; it is started again then. */
function stopFault(name: string, choose: Choose): FaultKind {
	return {
		name,
		async inject(ctx) {
			const victim = pickOne(running(choose, ctx), ctx.random);
			if (!victim) {
				return NOTHING;
			}

			const ended = victim.waitEnd();
			victim.signal('SIGTERM');
			victim.signal('SIGTERM');
			return {
				async heal() {
					victim.signal('SIGCONT');
					const end = await ended;
					if (end.code !== 0 && end.signal !== 'SIGKILL') {
						ctx.report(`stop_cuts_nothing_off: ${victim.name} ended with ${JSON.stringify(end)}`);
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
const engines: Choose = system => system.engines;

/** Faults of processes. */
export const processFaults: readonly FaultKind[] = [
	killFault('kill_entry', entries),
	killFault('kill_engine_agent', engineAgents),
	killFault('kill_plain_agent', plainAgents),
	killFault('kill_engine', engines),
	freezeFault('freeze_entry', entries),
	freezeFault('freeze_engine_agent', engineAgents),
	freezeFault('freeze_plain_agent', plainAgents),
	freezeFault('freeze_engine', engines),
	stopFault('stop_entry', entries),
	stopFault('stop_engine_agent', engineAgents),
	stopFault('stop_plain_agent', plainAgents),
];
