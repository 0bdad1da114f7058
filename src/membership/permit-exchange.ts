/** Asks other entries for permits and lends them this entry's, by datagrams that may be lost, duplicated or reordered. */
import {match} from 'ts-pattern';
import type {Clock} from '../core/clock.js';
import {
	createPermitLoans, type BorrowedPermit, type LoanId, type PermitLoans,
} from '../decisions/flow/permit-loans.js';
import type {RandomSource} from '../decisions/random.js';
import {sum} from '../decisions/sum.js';
import type {Log} from '../observability/log.js';
import type {MemberDatagram, SparePermits} from '../wire/generated/membership.js';

/** Permits of one service at this entry. */
export type PermitPool = Readonly<{
	/** Permits that can be lent now. */
	countSpare: () => number;
	/** Uses a borrowed permit for a waiting request; false if none is waiting that will have ended before `expiresAtMillis`. `giveBack` is called at its end. */
	useLoan: (expiresAtMillis: number, giveBack: () => void) => boolean;
	/** Decides again on the waiting requests, after a permit has come back or a loan has been denied. */
	reexamine: () => void;
}>;

/** Loans of the permits of all services that lend them. */
export type PermitExchange = Readonly<{
	/** Asks for up to `wanted` loans, those asked for already included; returns how many are awaited. */
	borrow: (service: string, wanted: number) => number;
	countLent: (service: string) => number;
	countBorrowed: (service: string) => number;
	/** Spare permits of this entry, as it advertises them to the others. */
	describeSpare: () => readonly SparePermits[];
	/** Takes over what a datagram of a live entry says about permits. */
	receive: (datagram: MemberDatagram, from: string) => void;
}>;

/** Message about a loan. */
export type LoanMessage = NonNullable<MemberDatagram['loan']>;

type Deps = Readonly<{
	clock: Clock;
	log: Log;
	random: RandomSource;
	/** Permits of this entry by service; only of services whose permits are lent. */
	listPools: () => ReadonlyMap<string, PermitPool>;
	/** Whether this entry lends and borrows: it has joined the others and is not leaving. */
	isActive: () => boolean;
	/** Addresses of the other live entries by id. */
	listMembers: () => ReadonlyMap<string, string>;
	send: (address: string, loan: LoanMessage) => void;
	/** Called when the number of lent or borrowed permits of a service has changed, except by expiry. */
	onChange: (service: string) => void;
}>;

/** Time in which a loan must be answered, in milliseconds; several round trips between failure domains. */
const ANSWER_TIMEOUT_MILLIS = 60;
/** Time for which an entry's spare permits are assumed to last, in milliseconds; a few intervals between its datagrams. */
const SPARE_TTL_MILLIS = 3000;
/** Loans of a service that are awaited at the same time. */
const MAX_AWAITED_LOANS = 4;

type Spare = Readonly<{count: number; atMillis: number}>;

/** Creates the exchange of an entry that has neither lent nor borrowed. */
export function createPermitExchange({clock, log, random, listPools, isActive, listMembers, send, onChange}: Deps): PermitExchange {
	const loansByService = new Map<string, PermitLoans>();
	/** Spare permits of other entries, by service and id of the entry. */
	const spareByService = new Map<string, Map<string, Spare>>();

	function readLoans(service: string): PermitLoans {
		const loans = loansByService.get(service) ?? createPermitLoans();
		loansByService.set(service, loans);
		return loans;
	}

	function readSpares(service: string): Map<string, Spare> {
		const spares = spareByService.get(service) ?? new Map<string, Spare>();
		spareByService.set(service, spares);
		return spares;
	}

	/** Draws an entry with a probability proportional to its spare permits, and counts one of them as taken. */
	function drawLender(service: string): string | undefined {
		const spares = readSpares(service);
		const members = listMembers();
		const sinceMillis = clock.monotonicMillis() - SPARE_TTL_MILLIS;
		const lenders = [...spares].filter(([id, {count, atMillis}]) => count > 0 && atMillis > sinceMillis && members.has(id));
		let ticket = random() * sum(lenders.map(([, {count}]) => count));
		for (const [id, spare] of lenders) {
			ticket -= spare.count;
			if (ticket < 0) {
				spares.set(id, {...spare, count: spare.count - 1});
				return id;
			}
		}

		return undefined;
	}

	function sendReturn(service: string, address: string, sequence: number): void {
		send(address, {$case: 'loanReturn', loanReturn: {service, sequence}});
	}

	async function ask(service: string, lender: string, address: string): Promise<void> {
		const loans = readLoans(service);
		const sequence = loans.ask(lender, clock.monotonicMillis());
		send(address, {$case: 'loanRequest', loanRequest: {service, sequence}});
		await clock.sleep(ANSWER_TIMEOUT_MILLIS);
		if (loans.giveUp(sequence)) {
			log.debug('permit loan', {
				service, lender, sequence, outcome: 'unanswered',
			});
			sendReturn(service, address, sequence);
			listPools().get(service)?.reexamine();
		}
	}

	function receiveAnswer({service, sequence, granted}: Readonly<{service: string; sequence: number; granted: boolean}>, lender: string, from: string): void {
		const loans = readLoans(service);
		const wasAsked = loans.countAsked();
		const permit = loans.accept(sequence, lender, granted);
		if (permit) {
			usePermit(service, permit, from);
		} else if (granted && !loans.isBorrowed(sequence)) {
			// The answer came too late or twice; the lender may count a permit as lent that is not used here.
			sendReturn(service, from, sequence);
		} else if (loans.countAsked() < wasAsked) {
			log.debug('permit loan', {
				service, lender, sequence, outcome: 'denied',
			});
			listPools().get(service)?.reexamine();
		}
	}

	function usePermit(service: string, permit: BorrowedPermit, address: string): void {
		const {lender, sequence, expiresAtMillis} = permit;
		const giveBack = () => {
			readLoans(service).finish(permit);
			onChange(service);
			sendReturn(service, address, sequence);
		};

		const isUsed = listPools().get(service)?.useLoan(expiresAtMillis, giveBack) === true;
		log.debug('permit loan', {
			service, lender, sequence, outcome: isUsed ? 'borrowed' : 'not_needed',
		});
		if (isUsed) {
			onChange(service);
		} else {
			giveBack();
		}
	}

	function answerRequest({service, sequence}: Readonly<{service: string; sequence: number}>, {borrower, generation}: Omit<LoanId, 'sequence'>, from: string): void {
		const spare = isActive() ? listPools().get(service)?.countSpare() ?? 0 : 0;
		const granted = readLoans(service).grant({borrower, generation, sequence}, spare, clock.monotonicMillis());
		log.debug('permit loan', {
			service, borrower, sequence, outcome: granted ? 'lent' : 'refused',
		});
		onChange(service);
		send(from, {$case: 'loanAnswer', loanAnswer: {service, sequence, granted}});
	}

	return {
		borrow(service, wanted) {
			const loans = readLoans(service);
			const missing = isActive() ? Math.min(wanted, MAX_AWAITED_LOANS) - loans.countAsked() : 0;
			for (let i = 0; i < missing; i++) {
				const lender = drawLender(service);
				const address = lender === undefined ? undefined : listMembers().get(lender);
				if (lender === undefined || address === undefined) {
					break;
				}

				void ask(service, lender, address);
			}

			return loans.countAsked();
		},
		countLent: service => loansByService.get(service)?.countLent(clock.monotonicMillis()) ?? 0,
		countBorrowed: service => loansByService.get(service)?.countBorrowed() ?? 0,
		describeSpare: () => isActive() ? [...listPools()].map(([service, pool]) => ({service, count: pool.countSpare()})) : [],
		receive({sender, generation, sparePermits, loan}, from) {
			if (!listMembers().has(sender)) {
				return;
			}

			for (const {service, count} of sparePermits) {
				readSpares(service).set(sender, {count, atMillis: clock.monotonicMillis()});
			}

			match(loan)
				.with({$case: 'loanRequest'}, ({loanRequest}) => {
					answerRequest(loanRequest, {borrower: sender, generation}, from);
				})
				.with({$case: 'loanAnswer'}, ({loanAnswer}) => {
					receiveAnswer(loanAnswer, sender, from);
				})
				.with({$case: 'loanReturn'}, ({loanReturn: {service, sequence}}) => {
					readLoans(service).end({borrower: sender, generation, sequence});
					onChange(service);
					listPools().get(service)?.reexamine();
				})
				.with(undefined, () => undefined)
				.exhaustive();
		},
	};
}
