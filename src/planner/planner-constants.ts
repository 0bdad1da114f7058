import type {LeaseTiming} from '../lease/lease-types.js';

export const GROUP_LEASE_TIMING: LeaseTiming = {durationMillis: 15_000, safetyMarginMillis: 3000};

/** Interval between renewals of a group's lease, in milliseconds. */
export const LEASE_RENEWAL_MILLIS = 4000;

/** Number of entries that contend for the lease of one group. */
export const MAX_CONTENDERS = 3;

/** Number of plan intervals after which a rank's report is too stale to measure the rank's speed. */
export const STALE_REPORT_INTERVALS = 3;

/** Number of plan intervals over which unused loads accumulate. */
export const LOAD_BURST_INTERVALS = 2;

/** How long to wait for an outcome in addition to the loading time, in milliseconds. */
export const OUTCOME_TIMEOUT_MILLIS = 10_000;

/** Number of consecutive readings with the same number of ranks before a group of unknown size gets its initial map. */
export const INITIAL_MAP_STABLE_READS = 2;

/** Number of slots of a rank beyond an even share of the experts, for a group that does not report its slots. */
export const DEFAULT_SPARE_SLOTS = 1;
