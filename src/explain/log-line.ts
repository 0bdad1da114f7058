/** Reads the lines that processes write. */
import {z} from 'zod';
import {processContextSchema} from '../observability/line-schemas.js';

/** A value of a line. */
export type LogValue = z.infer<typeof valueSchema>;

/** Values of a line by name. */
export type LogValues = Readonly<Record<string, LogValue>>;

/** A line of a process. */
export type LogLine = Readonly<{
	/** Wall time in milliseconds. */
	timeMillis: number;
	instanceId: string;
	/** Start of the process. */
	incarnation: string;
	role: string;
	/** Place among the lines of its process. */
	sequence: number;
	message: string;
	/** What the line says beyond its process. */
	values: LogValues;
}>;

const valueSchema = z.union([z.string(), z.number(), z.boolean()]);

const lineSchema = z.object({
	message: z.string(),
	time: z.number(),
	sequence: z.coerce.number(),
	context: processContextSchema.catchall(valueSchema),
});

/** Values of a line that say where it comes from. */
const SHARED_NAMES: ReadonlySet<string> = new Set([...Object.keys(processContextSchema.shape), 'logLevel']);

/** Reads a line; what a collector put before the document is skipped. Undefined when it is no line of a process. */
export function parseLogLine(text: string): LogLine | undefined {
	const start = text.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	let document: unknown;
	try {
		document = JSON.parse(text.slice(start));
	} catch {
		// A torn line; the caller counts it.
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
		values: Object.fromEntries(Object.entries(context).filter(([name]) => !SHARED_NAMES.has(name))),
	};
}
