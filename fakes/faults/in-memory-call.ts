import {match} from 'ts-pattern';
import type {Clock} from '../../src/core/clock.js';
import {fail, type Result} from '../../src/core/result.js';
import type {FaultControl} from './fault-control.js';

/** Time after which an in-memory caller gives up on a silent stand-in, in milliseconds. */
const SILENCE_TIMEOUT_MILLIS = 1000;

/** Fault of the platform as a caller sees it. */
export type PlatformFault
	= | Readonly<{tag: 'unavailable'; detail: string}>
		| Readonly<{tag: 'reply_lost'; detail: string}>;

/** Kind of a call: only a write can lose its reply. */
export type CallKind = 'read' | 'write';

function timeoutFault(kind: CallKind): PlatformFault {
	return kind === 'write'
		? {tag: 'reply_lost', detail: 'timeout'}
		: {tag: 'unavailable', detail: 'timeout'};
}

/** Runs `effect` under the faults that are set, as a call over the network would meet them. */
export async function callUnderFaults<T, E>(
	faults: FaultControl,
	clock: Clock,
	kind: CallKind,
	effect: () => Result<T, E>,
): Promise<Result<T, E | PlatformFault>> {
	await faults.waitWhileFrozen();
	const {delayMillis} = faults.read();
	if (delayMillis > 0) {
		await clock.sleep(delayMillis);
	}

	return match(faults.judge(kind === 'write'))
		.returnType<Promise<Result<T, E | PlatformFault>>>()
		.with('pass', async () => effect())
		.with('outage', async () => fail({tag: 'unavailable', detail: 'outage'}))
		.with('reply_lost', async () => {
			effect();
			return fail({tag: 'reply_lost', detail: 'connection closed'});
		})
		.with('silent', async () => {
			await clock.sleep(SILENCE_TIMEOUT_MILLIS);
			return fail(timeoutFault(kind));
		})
		.exhaustive();
}
