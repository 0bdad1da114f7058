/** Admission check of an attempt. */
import type {ConfigVersion} from '../core/ids.js';
import type {NotRunReason} from '../core/outcome.js';
import type {StartAttempt} from '../wire/generated/link.js';
import {MAX_ATTEMPTS_PER_CAPACITY_UNIT} from './agent-constants.js';
import type {AgentParts} from './agent-parts.js';

/** Finds the reason to refuse an attempt that the agent has not seen before; undefined when it may start. */
export function findRefusalReason(parts: AgentParts, start: StartAttempt, entryVersion: ConfigVersion): NotRunReason | undefined {
	if (parts.drainState.isDraining()) {
		return 'leaving';
	}

	if (entryVersion < parts.ctx.configuration.version()) {
		return 'stale_configuration';
	}

	if (start.service !== parts.settings.service) {
		return 'unknown_service';
	}

	// The ledger keeps complete answers only, so it cannot replay a stream.
	if (parts.backend.kind === 'engine' && !start.idempotent) {
		return 'bad_request';
	}

	if (start.remainingMillis <= 0) {
		return 'deadline';
	}

	const limit = parts.settings.backend.capacity * MAX_ATTEMPTS_PER_CAPACITY_UNIT;
	return parts.inFlight.size() >= limit ? 'overload' : undefined;
}
