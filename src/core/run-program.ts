import process from 'node:process';
import {
	runCommand, runMain, type ArgsDef, type CommandDef,
} from 'citty';

/** Exit code for invalid arguments. */
const USAGE_EXIT_CODE = 2;

function describeFailure(error: unknown): string {
	if (!(error instanceof Error)) {
		return String(error);
	}

	return error.name === 'CLIError' ? `${error.message}; see --help` : error.message;
}

/** Runs a command-line program; invalid arguments print one line to standard error and set exit code 2. */
export async function runProgram<T extends ArgsDef>(command: CommandDef<T>): Promise<void> {
	const rawArguments = process.argv.slice(2);
	if (rawArguments.length === 0 || rawArguments.includes('--help')) {
		await runMain(command, {rawArgs: rawArguments.length === 0 ? ['--help'] : rawArguments});
		return;
	}

	try {
		await runCommand(command, {rawArgs: rawArguments});
	} catch (error) {
		process.stderr.write(`${describeFailure(error)}\n`);
		process.exitCode = USAGE_EXIT_CODE;
	}
}
