import type {PlacementPolicy} from './placement-policy.js';

/** Keeps the first map for good. */
export const staticPolicy: PlacementPolicy = {name: 'static', afterStep: () => undefined};
