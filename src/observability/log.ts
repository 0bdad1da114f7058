import {openBoundedOutput} from './bounded-output.js';
import {ROARR, Roarr} from './enabled-roarr.js';

/** Context of a log line: ids, reasons, figures. Never bodies or credentials. */
export type LogContext = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes JSON lines. */
export type Log = {
	readonly debug: (message: string, ctx?: LogContext) => void;
	readonly info: (message: string, ctx?: LogContext) => void;
	readonly warn: (message: string, ctx?: LogContext) => void;
	readonly error: (message: string, ctx?: LogContext) => void;
	/** A log that adds `ctx` to each line. */
	readonly child: (ctx: LogContext) => Log;
};

function compact(ctx: LogContext): Record<string, string | number | boolean> {
	const kept: Record<string, string | number | boolean> = {};
	for (const [key, value] of Object.entries(ctx)) {
		if (value !== undefined) {
			kept[key] = value;
		}
	}

	return kept;
}

function wrap(base: LogContext): Log {
	return {
		debug(message, ctx = {}) {
			Roarr.debug(compact({...base, ...ctx}), message);
		},
		info(message, ctx = {}) {
			Roarr.info(compact({...base, ...ctx}), message);
		},
		warn(message, ctx = {}) {
			Roarr.warn(compact({...base, ...ctx}), message);
		},
		error(message, ctx = {}) {
			Roarr.error(compact({...base, ...ctx}), message);
		},
		child: ctx => wrap({...base, ...ctx}),
	};
}

/** The log of a process; `write` takes each line, without its end. Standard output by default. */
export function createProcessLog(ctx: LogContext, write: (line: string) => void = openBoundedOutput().write): Log {
	ROARR.write = write;
	return wrap(ctx);
}

function drop(): void {
	// The line is not wanted.
}

/** A log that drops everything, for tests and the experiment tool. */
export const silentLog: Log = {
	debug: drop,
	info: drop,
	warn: drop,
	error: drop,
	child: () => silentLog,
};
