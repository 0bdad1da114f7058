import process from 'node:process';
import {registerConfigurationSync} from '../configuration/configuration-sync.js';
import {startMetricsListener} from '../observability/metrics-listener.js';
import type {ListenError} from '../core/listen-error.js';
import type {Secrets} from '../settings/read-secrets.js';
import type {Settings} from '../settings/settings.js';
import {createContext} from './create-context.js';
import {EXIT_OK, EXIT_REFUSED, EXIT_USAGE} from './exit-code.js';
import {startRole, type RunningRole} from './start-role.js';
import {catchStopSignals} from './stop-signal.js';
import type {ProcessContext} from './process-context.js';

/** Extra time for a role to report its drain after the drain's own time limit has passed, in milliseconds. */
const DRAIN_GRACE_MILLIS = 1000;

/** Time limit of a whole drain: an entry first waits until the last address response that lists it has expired, then for its requests. */
function computeDrainLimitMillis(settings: Settings): number {
	const addressMillis = settings.role === 'entry' ? settings.addressLifetimeMillis : 0;
	return addressMillis + settings.drainMillis + DRAIN_GRACE_MILLIS;
}

/** Drains for at most `drainMillis`; resolves to the number of requests cut off. */
async function drainWithTimeout(ctx: ProcessContext, role: RunningRole, drainMillis: number): Promise<number> {
	const timeout = new AbortController();
	const timedOut = ctx.clock.sleep(drainMillis, timeout.signal).then(() => undefined);
	const cutOff = await Promise.race([role.drain(), timedOut]);
	timeout.abort();
	if (cutOff === undefined) {
		ctx.log.error('drain exceeded its time limit; cutting off requests in flight', {drainMillis});
		return 1;
	}

	return cutOff;
}

async function shutDownAfterListenError(ctx: ProcessContext, err: ListenError): Promise<number> {
	ctx.log.error('cannot listen', {address: err.address, detail: err.detail});
	process.stderr.write(`${err.address}: cannot listen: ${err.detail}\n`);
	await ctx.lifeCycle.shutdown();
	return EXIT_USAGE;
}

/** Runs a role until a stop signal arrives; resolves to the exit code. */
export async function runDaemon(settings: Settings, secrets: Secrets): Promise<number> {
	const ctx = createContext(settings, secrets);
	const stopSignals = catchStopSignals(ctx.clock);
	const stopSignal = stopSignals.wait(ctx.log);
	ctx.lifeCycle.own('configuration polling', registerConfigurationSync({...ctx, holder: ctx.configuration, random: Math.random}));
	const role = await startRole(ctx, settings, secrets);
	if (!role.ok) {
		return shutDownAfterListenError(ctx, role.error);
	}

	const metricsListener = await startMetricsListener({...ctx, address: settings.metricsListen, isReady: role.value.isReady});
	if (!metricsListener.ok) {
		return shutDownAfterListenError(ctx, metricsListener.error);
	}

	ctx.log.info('started', {role: settings.role});
	stopSignals.noteStarted();
	await stopSignal;
	const cutOff = await drainWithTimeout(ctx, role.value, computeDrainLimitMillis(settings));
	const failures = await ctx.lifeCycle.shutdown();
	for (const {name, err} of failures) {
		ctx.log.error('clean-up failed', {name, detail: String(err)});
	}

	ctx.log.info('stopped', {cutOff});
	return cutOff === 0 ? EXIT_OK : EXIT_REFUSED;
}
