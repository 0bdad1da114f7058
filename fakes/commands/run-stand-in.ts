import process from 'node:process';
import type {Result} from '../../src/core/result.js';
import type {StandIn} from '../http/stand-in.js';
import type {ArgumentError} from './arguments.js';

/** Exit code for invalid arguments. */
const USAGE_EXIT_CODE = 2;

function reportUsageError(name: string, detail: string): void {
	process.stderr.write(`--${name}: ${detail}\n`);
	process.exitCode = USAGE_EXIT_CODE;
}

function announceAndStopOnSignal(standIn: StandIn): void {
	process.stdout.write(`${JSON.stringify({ready: true, url: standIn.url})}\n`);
	const stop = () => {
		void standIn.close();
	};

	process.once('SIGTERM', stop);
	process.once('SIGINT', stop);
}

/** Runs a stand-in until SIGTERM or SIGINT. Writes a line to standard output when it is ready. */
export async function runStandIn<T>(
	options: Result<T, ArgumentError>,
	start: (options: T) => Promise<StandIn>,
): Promise<void> {
	if (!options.ok) {
		reportUsageError(options.error.name, options.error.detail);
		return;
	}

	try {
		announceAndStopOnSignal(await start(options.value));
	} catch (error) {
		reportUsageError('listen', error instanceof Error ? error.message : String(error));
	}
}
