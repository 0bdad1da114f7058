import {spawn, type ChildProcess} from 'node:child_process';
import {openSync, closeSync} from 'node:fs';
import process from 'node:process';
import {invariant} from '../../src/core/invariant.js';
import {systemClock} from '../../src/core/system-clock.js';

/** Interval of the readiness probe, in milliseconds. */
const READY_POLL_MILLIS = 25;
/** Longest time from the start of a process until it is ready, in milliseconds. */
const READY_TIMEOUT_MILLIS = 20_000;

/** Exit code after SIGTERM by the convention of shells (128 + 15); also used after SIGINT. */
const EXIT_CODE_SIGTERM = 143;

/** The program to run and its readiness probe. */
export type ProcessDefinition = Readonly<{
	name: string;
	/** Path of the program, then its arguments. */
	args: readonly string[];
	/** Environment variables in addition to those of this process. */
	variables?: Readonly<Record<string, string>>;
	/** File that standard output and standard error are appended to. */
	logFile: string;
	isReady: () => Promise<boolean>;
}>;

/** How a process ended: its exit code, or the signal that terminated it. */
export type ProcessEnd = Readonly<{code: number | undefined; signal: NodeJS.Signals | undefined}>;

/** A separate process of the system under test. */
export type ManagedProcess = {
	readonly name: string;
	/** Process id; undefined while it does not run. */
	readonly pid: () => number | undefined;
	/** Starts the process without waiting until it is ready. */
	readonly launch: () => void;
	readonly waitReady: () => Promise<void>;
	readonly signal: (signal: NodeJS.Signals) => void;
	/** Resolves when the current run has ended. When the process does not run, resolves immediately with the end of the last run. */
	readonly waitEnd: () => Promise<ProcessEnd>;
};

type Run = Readonly<{child: ChildProcess; ended: Promise<ProcessEnd>}>;

/** Children are killed when this process exits, also after a failure. */
const liveChildren = new Set<ChildProcess>();
process.once('exit', () => {
	for (const child of liveChildren) {
		child.kill('SIGKILL');
	}
});

for (const signal of ['SIGTERM', 'SIGINT'] as const) {
	process.once(signal, () => {
		process.exit(EXIT_CODE_SIGTERM);
	});
}

const NEVER_STARTED: ProcessEnd = {code: undefined, signal: undefined};

/** Defines a process without starting it; it can be started again after it ended. */
export function createManagedProcess(definition: ProcessDefinition): ManagedProcess {
	let run: Run | undefined;
	let lastEnd = NEVER_STARTED;

	function launch(): void {
		invariant(!run, `${definition.name} is already running`);
		const log = openSync(definition.logFile, 'a');
		const child = spawn(process.execPath, definition.args, {stdio: ['ignore', log, log], env: {...process.env, ...definition.variables}});
		closeSync(log);
		liveChildren.add(child);
		const ended = new Promise<ProcessEnd>(resolve => {
			child.once('exit', (code, signal) => {
				lastEnd = {code: code ?? undefined, signal: signal ?? undefined};
				run = undefined;
				liveChildren.delete(child);
				resolve(lastEnd);
			});
		});
		run = {child, ended};
	}

	return {
		name: definition.name,
		pid: () => run?.child.pid,
		launch,
		async waitReady() {
			const deadline = systemClock.monotonicMillis() + READY_TIMEOUT_MILLIS;
			// eslint-disable-next-line no-await-in-loop
			while (!await definition.isReady()) {
				invariant(run, `${definition.name} exited before it was ready; see ${definition.logFile}`);
				invariant(systemClock.monotonicMillis() < deadline, `${definition.name} did not become ready in time; see ${definition.logFile}`);
				// eslint-disable-next-line no-await-in-loop
				await systemClock.sleep(READY_POLL_MILLIS);
			}
		},
		signal(signal) {
			run?.child.kill(signal);
		},
		waitEnd: async () => run ? run.ended : lastEnd,
	};
}
