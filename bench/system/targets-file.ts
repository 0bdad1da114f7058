import path from 'node:path';

/** Targets file that the tests with separate processes apply first. */
export const TARGETS_FILE = path.resolve(import.meta.dirname, '..', '..', '..', 'examples', 'workshops.toml');
