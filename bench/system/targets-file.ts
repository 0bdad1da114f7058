import path from 'node:path';

/** Targets that the process tests put into force first. */
export const TARGETS_FILE = path.resolve(import.meta.dirname, '..', '..', '..', 'examples', 'workshops.toml');
