/** Parses the log lines that processes write. */
import {z} from 'zod';
import {processContextSchema} from '../observability/line-schemas.js';

export type LogValue = z.infer<typeof valueSchema>;

/** Values of a line, by name. */
export type LogValues = Readonly<Record<string, LogValue>>;

/** A log line of a process. */
export type LogLine = Readonly<{
	/** Wall time in milliseconds. */
	timeMillis: number;
	instanceId: string;
	/** Identifies one run of the process. */
	incarnation: string;
	role: string;
	/** Position among the lines of the process. */
	sequence: number;
	message: string;
	/** Values of the line itself, without those that all lines of the process share. */
	values: LogValues;
}>;

const valueSchema = z.union([z.string(), z.number(), z.boolean()]);

const lineSchema = z.object({
	message: z.string(),
	time: z.number(),
	sequence: z.coerce.number(),
	context: processContextSchema.catchall(valueSchema),
});

/** Names of the values that all lines of a process share, and of the log level. */
const CONTEXT_NAMES: ReadonlySet<string> = new Set([...Object.keys(processContextSchema.shape), 'logLevel']);

/** Parses a line, skipping any prefix that a log collector added. Undefined when it is not a log line of a process. */
export function parseLogLine(text: string): LogLine | undefined {
	const start = text.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	let document: unknown;
	try {
		document = JSON.parse(text.slice(start));
	} catch {
		// A truncated line; the caller counts it.
		return undefined;
	}

	const {data} = lineSchema.safeParse(document);
	if (!data) {
		return undefined;
	}

	const {context, message, time, sequence} = data;
	return {
		timeMillis: time,
		instanceId: context.instanceId,
		incarnation: context.incarnation,
		role: context.role,
		sequence,
		message,
		values: Object.fromEntries(Object.entries(context).filter(([name]) => !CONTEXT_NAMES.has(name))),
	};
}
