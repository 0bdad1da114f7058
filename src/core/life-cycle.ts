/** Releases one resource. */
export type CleanUp = () => void | Promise<void>;

/** Owner of everything a process must release before it ends. */
export type LifeCycle = {
	/** Aborts when the shutdown begins; long-running tasks watch it. */
	readonly signal: AbortSignal;
	/** Registers a clean-up; the last registered runs first. A clean-up registered after the shutdown runs at once. */
	readonly own: (name: string, cleanUp: CleanUp) => void;
	/** Runs all clean-ups one after the other. Further calls return the same promise. */
	readonly shutdown: () => Promise<readonly CleanUpFailure[]>;
};

/** A clean-up that threw; the others ran all the same. */
export type CleanUpFailure = Readonly<{name: string; err: unknown}>;

/** Creates the life-cycle manager of a process or of one test. */
export function createLifeCycle(): LifeCycle {
	const controller = new AbortController();
	const owned: Array<Readonly<{name: string; cleanUp: CleanUp}>> = [];
	let ending: Promise<readonly CleanUpFailure[]> | undefined;

	async function runAll(): Promise<readonly CleanUpFailure[]> {
		controller.abort();
		const failures: CleanUpFailure[] = [];
		for (let item = owned.pop(); item; item = owned.pop()) {
			try {
				// Each clean-up may rely on those registered before it.
				// eslint-disable-next-line no-await-in-loop
				await item.cleanUp();
			} catch (error) {
				failures.push({name: item.name, err: error});
			}
		}

		return failures;
	}

	return {
		signal: controller.signal,
		own(name, cleanUp) {
			if (controller.signal.aborted) {
				void cleanUp();
				return;
			}

			owned.push({name, cleanUp});
		},
		async shutdown() {
			ending ??= runAll();
			return ending;
		},
	};
}
