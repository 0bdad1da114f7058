import {execFile} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import {PROGRAM_ROOT} from './stand-in-process.js';

/** Longest run of the operators' tool, in milliseconds. */
const TIMEOUT_MILLIS = 30_000;

/** How a run of the operators' tool ended. */
export type ToolRun = Readonly<{exitCode: number; output: unknown; text: string}>;

function parseOutput(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

/** Runs the operators' tool as a process of its own, with `--json`. */
export async function runTool(...args: readonly string[]): Promise<ToolRun> {
	const program = path.join(PROGRAM_ROOT, 'src', 'cli', 'main.js');
	return new Promise(resolve => {
		execFile(process.execPath, [program, ...args, '--json'], {timeout: TIMEOUT_MILLIS}, (err, stdout, stderr) => {
			const exitCode = err ? Number(err.code ?? 1) : 0;
			resolve({exitCode, output: parseOutput(stdout), text: stdout + stderr});
		});
	});
}
