import process from 'node:process';
import {describeError} from './describe-error.js';

/** Releases one resource. */
export type CleanUp = () => void | Promise<void>;

/** Owns the resources that a process must release before it ends. */
export type LifeCycle = {
	/** Aborts when the shutdown begins; long-running tasks stop on it. */
	readonly signal: AbortSignal;
	/** Registers a clean-up; they run in reverse order of registration. During the shutdown, a new clean-up is the next one to run; after it, a new one runs at once. */
	readonly own: (name: string, cleanUp: CleanUp) => void;
	/** Runs all clean-ups one after the other. Further calls return the same promise. */
	readonly shutdown: () => Promise<readonly CleanUpFailure[]>;
};

/** A clean-up that threw; the others still ran. */
export type CleanUpFailure = Readonly<{name: string; err: unknown}>;

/** Creates the life cycle of a process or of one test. */
export function createLifeCycle(): LifeCycle {
	const controller = new AbortController();
	const registered: Array<Readonly<{name: string; cleanUp: CleanUp}>> = [];
	let shutdownResult: Promise<readonly CleanUpFailure[]> | undefined;
	let hasShutDown = false;

	async function runCleanUps(): Promise<readonly CleanUpFailure[]> {
		controller.abort();
		const failures: CleanUpFailure[] = [];
		for (let item = registered.pop(); item; item = registered.pop()) {
			try {
				// Each clean-up may rely on those registered before it.
				// eslint-disable-next-line no-await-in-loop
				await item.cleanUp();
			} catch (error) {
				failures.push({name: item.name, err: error});
			}
		}

		hasShutDown = true;
		return failures;
	}

	/** Runs a clean-up after the shutdown has reported its failures. */
	async function runLate(name: string, cleanUp: CleanUp): Promise<void> {
		try {
			await cleanUp();
		} catch (error) {
			process.emitWarning(`clean-up ${name} failed after the shutdown: ${describeError(error)}`);
		}
	}

	return {
		signal: controller.signal,
		own(name, cleanUp) {
			if (hasShutDown) {
				void runLate(name, cleanUp);
				return;
			}

			registered.push({name, cleanUp});
		},
		async shutdown() {
			shutdownResult ??= runCleanUps();
			return shutdownResult;
		},
	};
}
