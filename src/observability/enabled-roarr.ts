import process from 'node:process';

// The library looks at this variable once, when it is imported, and drops every line without it.
process.env.ROARR_LOG = 'true';

/** The log library, switched on. */
export const {ROARR, Roarr} = await import('roarr');
