import {setImmediate as nextMacrotask} from 'node:timers/promises';
import type {Clock} from '../../src/core/clock.js';

type ScheduledEvent = Readonly<{atMillis: number; order: number; run: () => void}>;

/** Discrete-event simulation loop; its clock advances only from one event to the next. */
export type EventLoop = Readonly<{
	clock: Clock;
	nowMillis: () => number;
	/** Runs `run` after `delayMillis`; events at the same time run in the order in which they were scheduled. */
	schedule: (delayMillis: number, run: () => void) => void;
	/** Runs the events up to `untilMillis`. */
	run: (untilMillis: number) => Promise<void>;
}>;

function isBefore(left: ScheduledEvent, right: ScheduledEvent): boolean {
	return left.atMillis < right.atMillis || (left.atMillis === right.atMillis && left.order < right.order);
}

/** Binary heap of events, earliest first. */
class EventHeap {
	readonly #items: ScheduledEvent[] = [];

	peek(): ScheduledEvent | undefined {
		return this.#items[0];
	}

	push(event: ScheduledEvent): void {
		this.#items.push(event);
		let i = this.#items.length - 1;
		while (i > 0) {
			const parent = Math.floor((i - 1) / 2);
			if (!this.#swapIfBefore(i, parent)) {
				return;
			}

			i = parent;
		}
	}

	pop(): void {
		const last = this.#items.pop();
		if (!last || this.#items.length === 0) {
			return;
		}

		this.#items[0] = last;
		let i = 0;
		for (let next = this.#siftDownOnce(i); next !== i; next = this.#siftDownOnce(i)) {
			i = next;
		}
	}

	#siftDownOnce(i: number): number {
		const left = (2 * i) + 1;
		const right = left + 1;
		const leftItem = this.#items[left];
		if (!leftItem) {
			return i;
		}

		const rightItem = this.#items[right];
		const child = rightItem && isBefore(rightItem, leftItem) ? right : left;
		return this.#swapIfBefore(child, i) ? child : i;
	}

	#swapIfBefore(i: number, j: number): boolean {
		const first = this.#items[i];
		const second = this.#items[j];
		if (!first || !second || !isBefore(first, second)) {
			return false;
		}

		this.#items[i] = second;
		this.#items[j] = first;
		return true;
	}
}

/** Creates a loop at time 0. */
export function createEventLoop(): EventLoop {
	const heap = new EventHeap();
	let nowMillis = 0;
	let order = 0;
	let hasWokenTask = false;

	const schedule: EventLoop['schedule'] = (delayMillis, run) => {
		heap.push({atMillis: nowMillis + delayMillis, order, run});
		order += 1;
	};

	const clock: Clock = {
		now: () => new Date(nowMillis),
		monotonicMillis: () => nowMillis,
		async sleep(millis) {
			await new Promise<void>(resolve => {
				schedule(millis, () => {
					hasWokenTask = true;
					resolve();
				});
			});
		},
	};

	return {
		clock,
		nowMillis: () => nowMillis,
		schedule,
		async run(untilMillis) {
			for (let event = heap.peek(); event && event.atMillis <= untilMillis; event = heap.peek()) {
				heap.pop();
				nowMillis = event.atMillis;
				event.run();
				if (hasWokenTask) {
					hasWokenTask = false;
					// Lets the task whose sleep has ended run before the next event.
					// eslint-disable-next-line no-await-in-loop
					await nextMacrotask();
				}
			}
		},
	};
}
