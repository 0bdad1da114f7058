/** Undoes a registration. Calling it twice has no further effect. */
export type Teardown = () => void;

/** Merges teardowns into one that runs them in reverse order of registration, once. */
export function mergeTeardowns(...teardowns: readonly Teardown[]): Teardown {
	let pending: readonly Teardown[] = teardowns.toReversed();
	return () => {
		const running = pending;
		pending = [];
		for (const teardown of running) {
			teardown();
		}
	};
}
