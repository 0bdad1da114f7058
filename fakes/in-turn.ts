/** Runs `task` for each item sequentially. */
export async function inTurn<T>(items: Iterable<T>, task: (item: T) => Promise<unknown>): Promise<void> {
	for (const item of items) {
		// A task may depend on the previous ones.
		// eslint-disable-next-line no-await-in-loop
		await task(item);
	}
}
