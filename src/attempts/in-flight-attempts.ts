/** Requests that this process is working on. */
import type {AttemptId, RequestId} from '../core/ids.js';
import type {Teardown} from '../core/teardown.js';

/** The attempts in flight. */
export type InFlightAttempts = {
	/** Counts an attempt until the teardown is called. */
	readonly register: (attemptId: AttemptId, requestId: RequestId) => Teardown;
	readonly size: () => number;
	/** Request whose attempt ended last; empty when none has. */
	readonly lastRequestId: () => RequestId;
	/** Resolves as soon as nothing is in flight. */
	readonly waitUntilEmpty: () => Promise<void>;
};

/** Creates a set with nothing in flight; `onSize` is told each new size. */
export function createInFlightAttempts(onSize: (size: number) => void): InFlightAttempts {
	const attempts = new Set<AttemptId>();
	let waiters: ReadonlyArray<() => void> = [];
	let lastRequestId = '';

	function finish(attemptId: AttemptId, requestId: RequestId): void {
		if (!attempts.delete(attemptId)) {
			return;
		}

		lastRequestId = requestId;
		onSize(attempts.size);
		if (attempts.size === 0) {
			wakeWaiters();
		}
	}

	function wakeWaiters(): void {
		const due = waiters;
		waiters = [];
		for (const wake of due) {
			wake();
		}
	}

	return {
		register(attemptId, requestId) {
			attempts.add(attemptId);
			onSize(attempts.size);
			return () => {
				finish(attemptId, requestId);
			};
		},
		size: () => attempts.size,
		lastRequestId: () => lastRequestId,
		async waitUntilEmpty() {
			if (attempts.size === 0) {
				return;
			}

			await new Promise<void>(resolve => {
				waiters = [...waiters, resolve];
			});
		},
	};
}
