import type {Clock} from '../../core/clock.js';
import type {RandomSource} from '../random.js';
import type {Admission, AdmissionDecision} from './admission-request.js';
import {createServiceAdmission, type ServiceAdmission} from './service-admission.js';

/** Time between two looks for waiting requests that would be late. */
const RECHECK_MILLIS = 20;

/** What admission needs. */
export type AdmissionDeps = Readonly<{clock: Clock; random: RandomSource}>;

/** What a request is told that nobody waits for any more. */
const withdrawn: AdmissionDecision = {tag: 'refused', reason: 'deadline', retryAfterMillis: 0};

/** Creates the admission of an entry; each service has a queue and a limit of its own. */
export function createAdmission(deps: AdmissionDeps): Admission {
	const lanes = new Map<string, ServiceAdmission>();
	let isRechecking = false;

	function readLane(service: string): ServiceAdmission {
		const known = lanes.get(service);
		if (known) {
			return known;
		}

		const lane = createServiceAdmission(deps);
		lanes.set(service, lane);
		return lane;
	}

	function countWaiting(): number {
		let count = 0;
		for (const lane of lanes.values()) {
			count += lane.countWaiting();
		}

		return count;
	}

	async function recheckWhileWaiting(): Promise<void> {
		isRechecking = true;
		while (countWaiting() > 0) {
			// Each look comes after the one before.
			// eslint-disable-next-line no-await-in-loop
			await deps.clock.sleep(RECHECK_MILLIS);
			for (const lane of lanes.values()) {
				lane.refuseExpectedLate();
			}
		}

		isRechecking = false;
	}

	const enqueue: Admission['enqueue'] = (req, decide) => {
		const teardown = readLane(req.workClass.service).enqueue(req, decide);
		if (!isRechecking && countWaiting() > 0) {
			void recheckWhileWaiting();
		}

		return teardown;
	};

	return {
		enqueue,
		async admit(req, signal) {
			if (signal?.aborted) {
				return withdrawn;
			}

			return new Promise<AdmissionDecision>(resolve => {
				const withdraw = enqueue(req, resolve);
				signal?.addEventListener('abort', () => {
					withdraw();
					resolve(withdrawn);
				}, {once: true});
			});
		},
		noteServiceLoad(service, load) {
			readLane(service).noteLoad(load);
		},
		countWaiting,
	};
}
