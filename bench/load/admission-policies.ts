import type {Clock} from '../../src/core/clock.js';
import type {RandomSource} from '../../src/decisions/random.js';
import type {Admission, AdmissionDecision} from '../../src/decisions/admission/admission-request.js';
import {createAdmission} from '../../src/decisions/admission/create-admission.js';

/** Retry-after time that the baselines give to refused callers. */
const FIXED_RETRY_AFTER_MILLIS = 5000;
/** Requests in flight that the fixed limit allows at one entry: an even share of the engines' batch slots. */
const FIXED_IN_FLIGHT_LIMIT = 64;
/** Maximum number of requests that are queued while the fixed limit is reached. */
const FIXED_QUEUE_LIMIT = 16;

/** An admission policy under its name in the reports. */
export type AdmissionPolicy = Readonly<{
	name: string;
	createAdmission: (deps: Readonly<{clock: Clock; random: RandomSource}>) => Pick<Admission, 'enqueue' | 'noteServiceLoad'>;
}>;

function doNothing(): void {
	// This policy keeps no measurements.
}

const admitAll: AdmissionPolicy = {
	name: 'admit-all',
	createAdmission: () => ({
		enqueue(_req, decide) {
			decide({tag: 'admitted', noteFirstByte: doNothing, release: doNothing});
			return doNothing;
		},
		noteServiceLoad: doNothing,
	}),
};

const fixedLimit: AdmissionPolicy = {
	name: 'fixed-limit',
	createAdmission() {
		const queue: Array<(decision: AdmissionDecision) => void> = [];
		let inFlight = 0;
		const admitNext = (): void => {
			if (inFlight >= FIXED_IN_FLIGHT_LIMIT) {
				return;
			}

			const decide = queue.shift();
			if (decide) {
				inFlight += 1;
				decide({
					tag: 'admitted',
					noteFirstByte: doNothing,
					release() {
						inFlight -= 1;
						admitNext();
					},
				});
			}
		};

		return {
			enqueue(_req, decide) {
				if (queue.length >= FIXED_QUEUE_LIMIT) {
					decide({tag: 'refused', reason: 'overload', retryAfterMillis: FIXED_RETRY_AFTER_MILLIS});
				} else {
					queue.push(decide);
					admitNext();
				}

				return doNothing;
			},
			noteServiceLoad: doNothing,
		};
	},
};

const pollenport: AdmissionPolicy = {name: 'pollenport', createAdmission};

/** The baselines, then Pollenport's own admission. */
export const admissionPolicies: readonly AdmissionPolicy[] = [admitAll, fixedLimit, pollenport];
