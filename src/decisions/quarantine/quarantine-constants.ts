/** Crashes that make a part suspect enough to be quarantined; a part may be lost in two of other causes by coincidence. */
export const MIN_CRASHES = 3;
/** The same for a part on which answers were written before. */
export const MIN_CRASHES_SOUND_BEFORE = 4;
/** Crashes that make a request, as a whole, suspect enough to be quarantined if it was never answered. */
export const MIN_REQUEST_CRASHES = 3;
/** Number of them that must have followed one another; fewer, as copies of a request may be lost at the same time. */
export const MIN_REQUEST_SEQUENCE = 2;
/** Events after which a backend server counts as having survived the beginning of an answer. */
export const SURVIVED_EVENTS = 2;
/** Time for which a part is quarantined after the last of {@link MIN_CRASHES} crashes, in milliseconds; each further crash doubles it. */
export const QUARANTINE_MILLIS = 120_000;
/** The same for parts that were sound before; shorter, since other trouble is the likelier cause of the crashes. */
export const DOUBTFUL_QUARANTINE_MILLIS = 10_000;
/** Time after which a crash is forgotten, and longest time of a quarantine, in milliseconds. */
export const CRASH_LIFETIME_MILLIS = 3_600_000;
/** Maximum number of crashes that are remembered; some times as many as it takes to find a part among crashes with other causes. */
export const MAX_CRASHES = 32;
/** Maximum number of lost requests that are remembered of one crash; several times the requests that an engine reads or begins at a time. */
export const MAX_LOST_REQUESTS = 32;
/** Maximum number of parts whose last sound answer is remembered. */
export const MAX_SOUND_PARTS = 4096;
