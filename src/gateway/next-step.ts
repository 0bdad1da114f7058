/** What follows an attempt, from what is proven about it. */
import type {RetryRule} from '../routing/routing-configuration.js';
import type {AttemptOutcome} from './attempt-outcome.js';

/** What follows an attempt. */
export type NextStep
	/** Pass the answer on, or it was passed on. */
	= | 'deliver'
	/** Another backend server may be asked, within the bounds on repeats. */
		| 'repeat'
	/** Tell the caller that nobody knows whether it ran. */
		| 'tell_unknown'
	/** The caller has left; there is nobody to tell. */
		| 'drop';

/** Statuses at which a backend server has failed although another one may serve the call. */
const isServerFailure = (status: number) => status === 500 || status === 502 || status === 503;

/** Chooses what follows; `repeat` falls back to an answer that fits all attempts when no repeat is possible. */
export function chooseNextStep(end: AttemptOutcome, rule: RetryRule): NextStep {
	switch (end.tag) {
		case 'passed': {
			return 'deliver';
		}

		case 'answered': {
			return rule !== 'at_most_once' && isServerFailure(end.head.status) ? 'repeat' : 'deliver';
		}

		case 'not_sent':
		case 'not_run': {
			return 'repeat';
		}

		case 'lost': {
			return rule === 'at_most_once' ? 'tell_unknown' : 'repeat';
		}

		case 'late': {
			return 'tell_unknown';
		}

		case 'caller_left': {
			return 'drop';
		}
	}
}
