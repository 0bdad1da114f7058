import type {Clock} from './clock.js';

/** FIFO queue with a single consumer. */
export type Mailbox<T> = {
	readonly push: (item: T) => void;
	/** Removes the next item; resolves to undefined when none arrives within `millis`. */
	readonly take: (clock: Clock, millis: number) => Promise<T | undefined>;
};

/** Creates an empty {@link Mailbox}. */
export function createMailbox<T>(): Mailbox<T> {
	const items: T[] = [];
	let wakeConsumer: (() => void) | undefined;

	return {
		push(item) {
			items.push(item);
			wakeConsumer?.();
		},
		async take(clock, millis) {
			if (items.length === 0) {
				const arrival = new AbortController();
				wakeConsumer = () => {
					arrival.abort();
				};

				await clock.sleep(Math.max(0, millis), arrival.signal);
				wakeConsumer = undefined;
			}

			return items.shift();
		},
	};
}
