/** Decides what follows an attempt, based on what is proven about its outcome. */
import type {RetryRule} from '../routing/routing-configuration.js';
import type {AttemptOutcome} from './attempt-outcome.js';

/** Action after an attempt. */
export type NextStep
	/** Deliver the answer, or complete one that was forwarded already. */
	= | 'deliver'
	/** Retry at another backend server, within the retry limits. */
		| 'repeat'
	/** Tell the caller that it is unknown whether the request ran. */
		| 'tell_unknown'
	/** The caller has disconnected, so no answer is sent. */
		| 'drop';

/** Whether the status reports a backend server failure after which another backend server may still serve the call. */
const isServerFailure = (status: number) => status === 500 || status === 502 || status === 503;

/** Chooses the next step; if `repeat` is not possible, the caller gets an answer that holds for all attempts. */
export function chooseNextStep(outcome: AttemptOutcome, rule: RetryRule): NextStep {
	switch (outcome.tag) {
		case 'passed': {
			return 'deliver';
		}

		case 'answered': {
			return rule !== 'at_most_once' && isServerFailure(outcome.head.status) ? 'repeat' : 'deliver';
		}

		case 'moved':
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
