import process from 'node:process';
import type {Result} from '../../src/core/result.js';
import type {StandIn} from '../http/stand-in.js';
import type {ArgumentError} from './arguments.js';

/** Exit code for arguments that do not fit. */
const USAGE_EXIT_CODE = 2;

/** Runs a stand-in until the process is told to end; says on standard output when it is ready. */
export async function runStandIn<T>(
	options: Result<T, ArgumentError>,
	start: (options: T) => Promise<StandIn>,
): Promise<void> {
	if (!options.ok) {
		process.stderr.write(`--${options.error.name}: ${options.error.detail}\n`);
		process.exitCode = USAGE_EXIT_CODE;
		return;
	}

	const standIn = await start(options.value);
	process.stdout.write(`${JSON.stringify({ready: true, url: standIn.url})}\n`);
	const stop = () => {
		void standIn.close();
	};

	process.once('SIGTERM', stop);
	process.once('SIGINT', stop);
}
