/**
 * Lends permits of one service between entries, both sides. Load pattern: requests arrive unevenly, so that an entry with a few
 * permits refuses requests while others have permits to spare.
 *
 * The lender counts a lent permit as used until it is returned or the loan expires. The borrower counts the same time from when it
 * asked, which is before the lender granted, so that its loan never ends later than the lender's. A lost message, or a borrower that
 * is killed or cut off, leaves a permit unused until the expiry and never lets it be used twice.
 */

/** Identifies a loan for both sides: the borrower, the generation of its process, and a number within it. */
export type LoanId = Readonly<{borrower: string; generation: number; sequence: number}>;

/** A permit that this entry has borrowed; the request on it must have ended at `expiresAtMillis`. */
export type BorrowedPermit = Readonly<{sequence: number; lender: string; expiresAtMillis: number}>;

/** Loans of the permits of one service, as one entry sees them. */
export type PermitLoans = Readonly<{
	/** Lender: decides on a request for a loan. A request that arrives again gets the same answer and no second permit. */
	grant: (id: LoanId, spare: number, nowMillis: number) => boolean;
	/** Lender: takes a permit back. */
	end: (id: LoanId) => void;
	/** Lender: counts the permits that others may be using. */
	countLent: (nowMillis: number) => number;
	/** Borrower: records that `lender` is asked; returns the number of the loan. */
	ask: (lender: string, nowMillis: number) => number;
	/** Borrower: takes the answer of a lender; undefined unless it grants a loan that is still awaited. */
	accept: (sequence: number, lender: string, isGranted: boolean) => BorrowedPermit | undefined;
	/** Borrower: gives up a loan that has not been answered, whose answer may have been lost; false if it has been. */
	giveUp: (sequence: number) => boolean;
	/** Borrower: records that the request on a borrowed permit has ended. */
	finish: (permit: BorrowedPermit) => void;
	/** Borrower: whether a request runs on this loan. */
	isBorrowed: (sequence: number) => boolean;
	/** Borrower: counts the loans that have been asked for and not answered. */
	countAsked: () => number;
	/** Borrower: counts the borrowed permits in use. */
	countBorrowed: () => number;
}>;

/** Time after which a loan expires, in milliseconds; above the deadline of 8 s that callers usually give. */
export const LOAN_TTL_MILLIS = 10_000;

/** Creates the loans of an entry that has neither lent nor borrowed. */
export function createPermitLoans(): PermitLoans {
	const expiryByLoan = new Map<string, number>();
	const asked = new Map<number, BorrowedPermit>();
	const borrowed = new Set<number>();
	let lastSequence = 0;

	const toKey = ({borrower, generation, sequence}: LoanId) => `${borrower} ${generation} ${sequence}`;

	function dropExpired(nowMillis: number): void {
		for (const [key, expiresAtMillis] of expiryByLoan) {
			if (expiresAtMillis <= nowMillis) {
				expiryByLoan.delete(key);
			}
		}
	}

	return {
		grant(id, spare, nowMillis) {
			dropExpired(nowMillis);
			if (expiryByLoan.has(toKey(id))) {
				return true;
			}

			if (spare < 1) {
				return false;
			}

			expiryByLoan.set(toKey(id), nowMillis + LOAN_TTL_MILLIS);
			return true;
		},
		end(id) {
			expiryByLoan.delete(toKey(id));
		},
		countLent(nowMillis) {
			dropExpired(nowMillis);
			return expiryByLoan.size;
		},
		ask(lender, nowMillis) {
			lastSequence++;
			asked.set(lastSequence, {sequence: lastSequence, lender, expiresAtMillis: nowMillis + LOAN_TTL_MILLIS});
			return lastSequence;
		},
		accept(sequence, lender, isGranted) {
			const permit = asked.get(sequence);
			if (permit?.lender !== lender) {
				return undefined;
			}

			asked.delete(sequence);
			if (!isGranted) {
				return undefined;
			}

			borrowed.add(sequence);
			return permit;
		},
		giveUp: sequence => asked.delete(sequence),
		finish({sequence}) {
			borrowed.delete(sequence);
		},
		isBorrowed: sequence => borrowed.has(sequence),
		countAsked: () => asked.size,
		countBorrowed: () => borrowed.size,
	};
}
