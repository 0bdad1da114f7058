import type {Targets} from '../../targets/targets.js';

/** Creates targets with a single work class, whose latency target is `lateAfterMillis`. */
export function createTargets(lateAfterMillis: number): Targets {
	return {
		services: [{name: 'settlements', kind: 'plain'}],
		classes: [{
			name: 'posting',
			service: 'settlements',
			lateAfterMillis,
			lateShare: 0.05,
			refusedShare: 0.01,
			idempotent: false,
			priority: 10,
			deadlineMillis: 10_000,
		}],
		groups: [],
		accounts: [{name: 'desk', credentialDigest: 'a'.repeat(64)}],
	};
}
