/** Runs `task` for each item, one after the other. */
export async function inTurn<T>(items: Iterable<T>, task: (item: T) => Promise<unknown>): Promise<void> {
	for (const item of items) {
		// Each task may rely on those before it.
		// eslint-disable-next-line no-await-in-loop
		await task(item);
	}
}
