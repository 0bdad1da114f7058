import type {Clock} from '../../core/clock.js';
import type {AccountName} from '../../core/ids.js';

/** Time constant with which the request counts decay. */
const COUNT_TIME_CONSTANT_MILLIS = 60_000;
/** Minimum number of addresses of an account, if there are that many entries. */
const MIN_ADDRESSES = 3;
/** Addresses of an account that sends as many requests as one entry receives on average. */
const ADDRESSES_PER_ENTRY_SHARE = 6;

/** Sizes of client accounts, estimated from the requests that this entry receives. */
export type AccountSizes = Readonly<{
	noteRequest: (account: AccountName) => void;
	/** Number of addresses for an account among `entries` live entries. */
	chooseAddressCount: (account: AccountName, entries: number) => number;
}>;

type Count = Readonly<{value: number; atMillis: number}>;

function readCount(count: Count | undefined, nowMillis: number): number {
	return count ? count.value * Math.exp((count.atMillis - nowMillis) / COUNT_TIME_CONSTANT_MILLIS) : 0;
}

/** Computes the number of addresses for an account with this share of all requests. */
export function computeAddressCount(share: number, entries: number): number {
	const wanted = Math.ceil(share * entries * ADDRESSES_PER_ENTRY_SHARE);
	return Math.min(entries, Math.max(MIN_ADDRESSES, wanted));
}

/**
 * Creates sizes without accounts.
 *
 * This entry receives only a part of an account's requests, so the local share is scaled by the ratio of the account's previous
 * number of addresses to the number of entries.
 */
export function createAccountSizes(clock: Clock): AccountSizes {
	const counts = new Map<AccountName, Count>();
	const addressCounts = new Map<AccountName, number>();
	let totalCount: Count = {value: 0, atMillis: clock.monotonicMillis()};

	return {
		noteRequest(account) {
			const atMillis = clock.monotonicMillis();
			counts.set(account, {value: readCount(counts.get(account), atMillis) + 1, atMillis});
			totalCount = {value: readCount(totalCount, atMillis) + 1, atMillis};
		},
		chooseAddressCount(account, entries) {
			const nowMillis = clock.monotonicMillis();
			const localShare = readCount(counts.get(account), nowMillis) / Math.max(1, readCount(totalCount, nowMillis));
			const previousCount = Math.min(entries, addressCounts.get(account) ?? MIN_ADDRESSES);
			const share = entries === 0 ? 0 : (localShare * previousCount) / entries;
			const count = computeAddressCount(share, entries);
			addressCounts.set(account, count);
			return count;
		},
	};
}
