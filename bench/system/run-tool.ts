import {execFile} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import {PROGRAM_ROOT} from './stand-in-process.js';

/** Longest run of the `pollenport` command-line tool, in milliseconds. */
const TOOL_TIMEOUT_MILLIS = 30_000;

/** Result of a run of the command-line tool; `output` is its standard output as JSON, undefined when it is not JSON. */
export type ToolRun = Readonly<{exitCode: number; output: unknown; text: string}>;

function parseOutput(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

/** Runs the `pollenport` command-line tool in a separate process, with `--json`. */
export async function runTool(...args: readonly string[]): Promise<ToolRun> {
	const program = path.join(PROGRAM_ROOT, 'src', 'cli', 'main.js');
	return new Promise(resolve => {
		execFile(process.execPath, [program, ...args, '--json'], {timeout: TOOL_TIMEOUT_MILLIS}, (err, stdout, stderr) => {
			const exitCode = err ? Number(err.code ?? 1) : 0;
			resolve({exitCode, output: parseOutput(stdout), text: stdout + stderr});
		});
	});
}
