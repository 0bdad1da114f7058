import process from 'node:process';

// The library reads this variable once, when it is imported, and drops every line if it is not set.
process.env.ROARR_LOG = 'true';

/** The log library, with its output enabled. */
const {default: roarr} = await import('roarr');
export const {ROARR, Roarr} = roarr;
