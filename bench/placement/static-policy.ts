import type {PlacementPolicy} from './placement-policy.js';

/** Baseline that never changes the initial map. */
export const staticPolicy: PlacementPolicy = {name: 'static', afterStep: () => undefined};
