import type {Clock} from '../../core/clock.js';
import type {RandomSource} from '../random.js';
import type {Admission, AdmissionDecision} from './admission-request.js';
import {createServiceAdmission, type ServiceAdmission} from './service-admission.js';

/** Interval of the check for waiting requests that would be late. */
const RECHECK_INTERVAL_MILLIS = 20;

export type AdmissionDeps = Readonly<{clock: Clock; random: RandomSource}>;

/** Decision on a request whose caller no longer waits for it. */
const withdrawnDecision: AdmissionDecision = {tag: 'refused', reason: 'deadline', retryAfterMillis: 0};

/** Creates the admission control of an entry; each service has its own queue and limit. */
export function createAdmission(deps: AdmissionDeps): Admission {
	const serviceAdmissions = new Map<string, ServiceAdmission>();
	let isRechecking = false;

	function getServiceAdmission(service: string): ServiceAdmission {
		const known = serviceAdmissions.get(service);
		if (known) {
			return known;
		}

		const serviceAdmission = createServiceAdmission(deps);
		serviceAdmissions.set(service, serviceAdmission);
		return serviceAdmission;
	}

	function countWaiting(): number {
		let count = 0;
		for (const serviceAdmission of serviceAdmissions.values()) {
			count += serviceAdmission.countWaiting();
		}

		return count;
	}

	async function recheckWhileWaiting(): Promise<void> {
		isRechecking = true;
		while (countWaiting() > 0) {
			// Each check starts after the previous one.
			// eslint-disable-next-line no-await-in-loop
			await deps.clock.sleep(RECHECK_INTERVAL_MILLIS);
			for (const serviceAdmission of serviceAdmissions.values()) {
				serviceAdmission.refuseExpectedLate();
			}
		}

		isRechecking = false;
	}

	const enqueue: Admission['enqueue'] = (req, decide) => {
		const teardown = getServiceAdmission(req.workClass.service).enqueue(req, decide);
		if (!isRechecking && countWaiting() > 0) {
			void recheckWhileWaiting();
		}

		return teardown;
	};

	return {
		enqueue,
		async admit(req, signal) {
			if (signal?.aborted) {
				return withdrawnDecision;
			}

			return new Promise<AdmissionDecision>(resolve => {
				const withdraw = enqueue(req, resolve);
				signal?.addEventListener('abort', () => {
					withdraw();
					resolve(withdrawnDecision);
				}, {once: true});
			});
		},
		noteServiceLoad(service, load) {
			getServiceAdmission(service).noteLoad(load);
		},
		countWaiting,
	};
}
