import {match} from 'ts-pattern';
import type {Clock} from '../../src/core/clock.js';
import {fail, type Result} from '../../src/core/result.js';
import type {FaultControl} from './fault-control.js';

/** Time after which an in-memory call to a silent stand-in times out, in milliseconds. */
const SILENT_CALL_TIMEOUT_MILLIS = 1000;

/** A platform fault as the caller sees it. */
export type PlatformFault
	= | Readonly<{tag: 'unavailable'; detail: string}>
		| Readonly<{tag: 'reply_lost'; detail: string}>;

/** Kind of a call. Only the reply to a write can be lost. */
export type CallKind = 'read' | 'write';

function timeoutFault(kind: CallKind): PlatformFault {
	return kind === 'write'
		? {tag: 'reply_lost', detail: 'timeout'}
		: {tag: 'unavailable', detail: 'timeout'};
}

/** Runs `effect` with the current faults applied, as they would affect a call over the network. */
export async function callWithFaults<T, E>(
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

	return match(faults.decide(kind === 'write'))
		.returnType<Promise<Result<T, E | PlatformFault>>>()
		.with('pass', async () => effect())
		.with('outage', async () => fail({tag: 'unavailable', detail: 'outage'}))
		.with('reply_lost', async () => {
			effect();
			return fail({tag: 'reply_lost', detail: 'connection closed'});
		})
		.with('silent', async () => {
			await clock.sleep(SILENT_CALL_TIMEOUT_MILLIS);
			return fail(timeoutFault(kind));
		})
		.exhaustive();
}
