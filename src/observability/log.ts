import {openBoundedOutput} from './bounded-output.js';
import {ROARR, Roarr} from './enabled-roarr.js';

/** Context of a log line: ids, reasons and figures, never bodies or credentials. */
export type LogContext = Readonly<Record<string, string | number | boolean | undefined>>;

/** Structured log that writes JSON lines. */
export type Log = {
	readonly debug: (message: string, ctx?: LogContext) => void;
	readonly info: (message: string, ctx?: LogContext) => void;
	readonly warn: (message: string, ctx?: LogContext) => void;
	readonly error: (message: string, ctx?: LogContext) => void;
	/** Creates a log that adds `ctx` to each line. */
	readonly child: (ctx: LogContext) => Log;
};

function omitUndefined(ctx: LogContext): Record<string, string | number | boolean> {
	const kept: Record<string, string | number | boolean> = {};
	for (const [key, value] of Object.entries(ctx)) {
		if (value !== undefined) {
			kept[key] = value;
		}
	}

	return kept;
}

function createLog(base: LogContext): Log {
	return {
		debug(message, ctx = {}) {
			Roarr.debug(omitUndefined({...base, ...ctx}), message);
		},
		info(message, ctx = {}) {
			Roarr.info(omitUndefined({...base, ...ctx}), message);
		},
		warn(message, ctx = {}) {
			Roarr.warn(omitUndefined({...base, ...ctx}), message);
		},
		error(message, ctx = {}) {
			Roarr.error(omitUndefined({...base, ...ctx}), message);
		},
		child: ctx => createLog({...base, ...ctx}),
	};
}

/** Creates the log of a process. `write` receives each line without a line break; by default it writes to standard output. */
export function createProcessLog(ctx: LogContext, write: (line: string) => void = openBoundedOutput().write): Log {
	ROARR.write = write;
	return createLog(ctx);
}

function discard(): void {
	// Discards the line.
}

/** A log that discards all lines, for tests and for reading the status. */
export const silentLog: Log = {
	debug: discard,
	info: discard,
	warn: discard,
	error: discard,
	child: () => silentLog,
};
