import type {Clock} from './clock.js';

/** Queue between a producer and one consumer; items come out in the order they went in. */
export type Mailbox<T> = {
	readonly push: (item: T) => void;
	/** The next item, or undefined when none came within `millis`. */
	readonly take: (clock: Clock, millis: number) => Promise<T | undefined>;
};

/** Creates an empty {@link Mailbox}. */
export function createMailbox<T>(): Mailbox<T> {
	const items: T[] = [];
	let wake: (() => void) | undefined;

	return {
		push(item) {
			items.push(item);
			wake?.();
		},
		async take(clock, millis) {
			if (items.length === 0) {
				const arrival = new AbortController();
				wake = () => {
					arrival.abort();
				};

				await clock.sleep(Math.max(0, millis), arrival.signal);
				wake = undefined;
			}

			return items.shift();
		},
	};
}
