/** Decides from the content of a request whether it may be sent to a backend server. */
import type {Teardown} from '../core/teardown.js';
import type {RequestContent} from '../decisions/quarantine/crash-record.js';
import type {Finding} from '../decisions/quarantine/finding.js';
import type {GatewayContext} from './gateway-context.js';

/** Retry-After value while another request tests whether the same content is poisonous, in milliseconds; the time to a second event. */
const PROBE_RETRY_AFTER_MILLIS = 1000;

/** Decision on one attempt. */
export type RequestAdmission
	/** It may be sent; `release` is to be called when it has ended. */
	= | Readonly<{tag: 'admitted'; release: Teardown}>
		| Readonly<{tag: 'quarantined'; retryAfterMillis: number; finding: Finding}>;

const nothingToRelease: Teardown = () => undefined;

/** Decides on an attempt that is about to be sent. */
export function admitRequest({quarantine}: Pick<GatewayContext, 'quarantine'>, content: RequestContent): RequestAdmission {
	const verdict = quarantine.judge(content);
	if (verdict.tag === 'clear') {
		return {tag: 'admitted', release: nothingToRelease};
	}

	const release = verdict.tag === 'probe' ? quarantine.tryProbe(verdict.finding) : undefined;
	return release
		? {tag: 'admitted', release}
		: {
			tag: 'quarantined',
			retryAfterMillis: verdict.tag === 'quarantined' ? verdict.leftMillis : PROBE_RETRY_AFTER_MILLIS,
			finding: verdict.finding,
		};
}
