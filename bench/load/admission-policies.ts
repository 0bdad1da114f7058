import type {Clock} from '../../src/core/clock.js';
import type {RandomSource} from '../../src/decisions/random.js';
import type {Admission, AdmissionDecision} from '../../src/decisions/admission/admission-request.js';
import {createAdmission} from '../../src/decisions/admission/create-admission.js';

/** Time after which the baselines ask refused callers back. */
const FIXED_RETRY_MILLIS = 5000;
/** Requests in flight that the fixed limit allows at one entry: an even part of the engines' places. */
const FIXED_LIMIT = 64;
/** Requests that wait at most behind the fixed limit. */
const FIXED_QUEUE = 16;

/** A named way to admit requests. */
export type AdmissionPolicy = Readonly<{
	name: string;
	createAdmission: (deps: Readonly<{clock: Clock; random: RandomSource}>) => Pick<Admission, 'enqueue' | 'noteServiceLoad'>;
}>;

function doNothing(): void {
	// This policy learns nothing.
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
		const waiting: Array<(decision: AdmissionDecision) => void> = [];
		let inFlight = 0;
		const admitNext = (): void => {
			if (inFlight >= FIXED_LIMIT) {
				return;
			}

			const decide = waiting.shift();
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
				if (waiting.length >= FIXED_QUEUE) {
					decide({tag: 'refused', reason: 'overload', retryAfterMillis: FIXED_RETRY_MILLIS});
				} else {
					waiting.push(decide);
					admitNext();
				}

				return doNothing;
			},
			noteServiceLoad: doNothing,
		};
	},
};

const pollenport: AdmissionPolicy = {name: 'pollenport', createAdmission};

/** The baselines and the product's own admission. */
export const admissionPolicies: readonly AdmissionPolicy[] = [admitAll, fixedLimit, pollenport];
