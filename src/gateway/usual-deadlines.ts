/** How long callers of each route usually wait; those that come back after a refusal have less time left. */
export type UsualDeadlines = Readonly<{
	/** Takes the time that a caller gives, in milliseconds, and returns what is usual on the route. */
	note: (route: string, deadlineMillis: number) => number;
}>;

/** Part by which what is usual falls with each caller that gives less, so that shorter times are learnt. */
const DECAY = 0.0005;

/** Creates a record that knows no route yet. */
export function createUsualDeadlines(): UsualDeadlines {
	const usual = new Map<string, number>();

	return {
		note(route, deadlineMillis) {
			if (!Number.isFinite(deadlineMillis)) {
				return deadlineMillis;
			}

			const known = usual.get(route) ?? 0;
			const next = Math.max(deadlineMillis, known * (1 - DECAY));
			usual.set(route, next);
			return next;
		},
	};
}
