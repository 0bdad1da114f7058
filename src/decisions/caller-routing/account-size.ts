import type {Clock} from '../../core/clock.js';
import type {AccountName} from '../../core/ids.js';

/** Time constant of the request counts. */
const COUNT_TIME_CONSTANT_MILLIS = 60_000;
/** Fewest addresses of an account, as long as there are as many entries. */
const MIN_ADDRESSES = 3;
/** Addresses of an account that sends as much as one entry takes on average. */
const ADDRESSES_PER_ENTRY_SHARE = 6;

/** Sizes of client accounts, learnt from the requests that this entry sees. */
export type AccountSizes = Readonly<{
	noteRequest: (account: AccountName) => void;
	/** Number of addresses that an account should get among `entries` live entries. */
	chooseAddressCount: (account: AccountName, entries: number) => number;
}>;

type Count = Readonly<{value: number; atMillis: number}>;

function readCount(count: Count | undefined, nowMillis: number): number {
	return count ? count.value * Math.exp((count.atMillis - nowMillis) / COUNT_TIME_CONSTANT_MILLIS) : 0;
}

/** Number of addresses for an account with this share of all requests. */
export function computeAddressCount(share: number, entries: number): number {
	const wanted = Math.ceil(share * entries * ADDRESSES_PER_ENTRY_SHARE);
	return Math.min(entries, Math.max(MIN_ADDRESSES, wanted));
}

/**
 * Creates sizes that know no account yet.
 *
 * This entry sees only its part of an account's requests, so the share seen here is scaled by the number of addresses the
 * account was given last over the number of entries.
 */
export function createAccountSizes(clock: Clock): AccountSizes {
	const counts = new Map<AccountName, Count>();
	const given = new Map<AccountName, number>();
	let total: Count = {value: 0, atMillis: clock.monotonicMillis()};

	return {
		noteRequest(account) {
			const atMillis = clock.monotonicMillis();
			counts.set(account, {value: readCount(counts.get(account), atMillis) + 1, atMillis});
			total = {value: readCount(total, atMillis) + 1, atMillis};
		},
		chooseAddressCount(account, entries) {
			const nowMillis = clock.monotonicMillis();
			const seenShare = readCount(counts.get(account), nowMillis) / Math.max(1, readCount(total, nowMillis));
			const before = Math.min(entries, given.get(account) ?? MIN_ADDRESSES);
			const share = entries === 0 ? 0 : (seenShare * before) / entries;
			const count = computeAddressCount(share, entries);
			given.set(account, count);
			return count;
		},
	};
}
