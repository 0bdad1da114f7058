import type {ConfigVersion} from '../core/ids.js';
import type {DispatchContext} from './dispatch-context.js';

/** Waits at most `millis` until this process has at least `version`. */
export async function waitForConfiguration(ctx: Pick<DispatchContext, 'clock' | 'configuration'>, version: ConfigVersion, millis: number): Promise<void> {
	const arrival = new AbortController();
	const stopListening = ctx.configuration.registerListener(() => {
		if (ctx.configuration.version() >= version) {
			arrival.abort();
		}
	});
	if (ctx.configuration.version() < version) {
		await ctx.clock.sleep(millis, arrival.signal);
	}

	stopListening();
}
