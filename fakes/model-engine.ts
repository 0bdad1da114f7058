import {systemClock} from '../src/core/system-clock.js';
import {createEngine, type Engine} from './engine/engine.js';
import type {EngineOptions} from './engine/engine-options.js';
import {addEngineRoutes} from './engine/engine-routes.js';
import {startStandIn, type StandIn} from './http/stand-in.js';

/** Starts a model engine, one rank of a group or standalone. Its records are `{orders, streams, fetchedExperts}`. */
export async function createModelEngine(options: EngineOptions): Promise<StandIn> {
	let engine: Engine | undefined;
	return startStandIn({
		listen: options.listen,
		addRoutes(app, faults) {
			engine = createEngine(options, {clock: systemClock, waitWhileFrozen: faults.waitWhileFrozen});
			addEngineRoutes(app, engine);
			void runUntilStopped(engine);
		},
		records: () => engine?.records(),
		reset() {
			// An engine keeps its state on reset; only a new process starts without any.
		},
		stop() {
			engine?.stop();
		},
	});
}

async function runUntilStopped(engine: Engine): Promise<void> {
	try {
		await engine.run();
	} catch (error) {
		if (!(error instanceof Error && error.name === 'AbortError')) {
			throw error;
		}
	}
}
