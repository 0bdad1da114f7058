import type {LeaseTiming} from '../lease/lease-types.js';

/** Times of the lease on a group. */
export const GROUP_LEASE_TIMING: LeaseTiming = {durationMillis: 15_000, safetyMarginMillis: 3000};

/** Time between two renewals of a group's lease, in milliseconds. */
export const LEASE_RENEWAL_MILLIS = 4000;

/** Entries that contend for the lease of one group. */
export const MAX_CONTENDERS = 3;

/** Plan intervals after which the report of a rank is too old to tell its pace. */
export const STALE_REPORT_INTERVALS = 3;

/** Plan intervals over which unused loads add up. */
export const LOAD_BURST_INTERVALS = 2;

/** Time beyond loading for which an outcome is waited for, in milliseconds. */
export const OUTCOME_TIMEOUT_MILLIS = 10_000;

/** Looks in a row that must list the same ranks before a group of unknown size gets its first map. */
export const INITIAL_MAP_STABLE_READS = 2;

/** Slots of a rank beyond an even share of the experts, for a group that does not report its slots. */
export const DEFAULT_SPARE_SLOTS = 1;
