/** Decides from the parts of a prompt whether a request may be sent to a backend server. */
import type {Teardown} from '../core/teardown.js';
import type {GatewayContext} from './gateway-context.js';

/** Retry-After value while another request tests whether the same parts are poisonous, in milliseconds; the time to a second event. */
const PROBE_RETRY_AFTER_MILLIS = 1000;

/** Decision on one attempt. */
export type PromptAdmission
	/** It may be sent; `release` is to be called when it has ended. */
	= | Readonly<{tag: 'admitted'; release: Teardown}>
		| Readonly<{tag: 'quarantined'; retryAfterMillis: number; parts: readonly string[]; crashed: readonly string[]}>;

const nothingToRelease: Teardown = () => undefined;

/** Decides on an attempt that is about to be sent. */
export function admitPrompt({quarantine}: Pick<GatewayContext, 'quarantine'>, promptParts: readonly string[]): PromptAdmission {
	const verdict = quarantine.judge(promptParts);
	if (verdict.tag === 'clear') {
		return {tag: 'admitted', release: nothingToRelease};
	}

	const release = verdict.tag === 'probe' ? quarantine.tryProbe(verdict.finding) : undefined;
	return release
		? {tag: 'admitted', release}
		: {
			tag: 'quarantined',
			retryAfterMillis: verdict.tag === 'quarantined' ? verdict.leftMillis : PROBE_RETRY_AFTER_MILLIS,
			parts: verdict.finding.parts,
			crashed: verdict.finding.crashes.map(({server}) => server),
		};
}
