/** Counts as their changes since the last reading: small numbers, which take a byte or two each, where the counts themselves take three or more. */

/** Counts as they are sent. `since` is the number of the counts to which they are to be added; 0 if they are whole. */
export type CountMessage = Readonly<{counts: readonly number[]; number: number; since: number}>;

/** Sending side, beside the engine. */
export type CountSender = Readonly<{
	/** Describes counts for a reader that has those with the number `since`; 0 if it has none. */
	describe: (counts: readonly number[], since: number) => CountMessage;
}>;

type NumberedCounts = Readonly<{counts: readonly number[]; number: number}>;

/** Creates a sender; its numbers begin after `firstNumber`, which must differ from those of a former process. */
export function createCountSender(firstNumber: number): CountSender {
	let last: NumberedCounts = {counts: [], number: firstNumber};
	return {
		describe(counts, since) {
			const {counts: before, number: beforeNumber} = last;
			last = {counts, number: beforeNumber + 1};
			const isChange = since === beforeNumber && counts.length === before.length && counts.every((count, i) => count >= (before[i] ?? 0));
			return isChange
				? {counts: counts.map((count, i) => count - (before[i] ?? 0)), number: last.number, since}
				: {counts, number: last.number, since: 0};
		},
	};
}

/** Receiving side. */
export type CountReceiver = Readonly<{
	/** Number of the last counts; 0 for none. */
	readNumber: () => number;
	/** Returns the whole counts; undefined if they are changes of others than the last ones. */
	receive: (message: CountMessage) => readonly number[] | undefined;
}>;

/** Creates a receiver without counts. */
export function createCountReceiver(): CountReceiver {
	let last: NumberedCounts | undefined;
	return {
		readNumber: () => last?.number ?? 0,
		receive({counts, number, since}) {
			const base = since === 0 ? [] : last?.counts;
			if (base === undefined || (since !== 0 && last?.number !== since)) {
				return undefined;
			}

			const whole = counts.map((count, i) => count + (base[i] ?? 0));
			last = {counts: whole, number};
			return whole;
		},
	};
}
