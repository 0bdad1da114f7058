/** Schemas of the log lines of gateways and rank agents; docs/logs.md documents the same lines. */
import {z} from 'zod';

const id = z.string();
const millis = z.number().nonnegative();
const count = z.number().int().nonnegative();
const version = z.number().int();

/** Lines about one request. */
const requestLines = {
	call: z.strictObject({
		request: id,
		deadlineMillis: millis.optional(),
		route: z.string(),
		service: z.string(),
		account: z.string().optional(),
		promptTokens: count,
		maxOutputTokens: count,
		/** Ids of the parts of the prompt, in order. */
		promptParts: z.string().optional(),
		/** Hash of path, caller and body. */
		fingerprint: z.string().optional(),
		version,
		configurationAgeMillis: millis,
		waitedMillis: millis,
		/** Ids of the backend servers, in the order of the attempts. */
		servers: z.string(),
		attempts: count,
		lastEventId: z.number().optional(),
		firstByteMillis: millis.optional(),
		longestPauseMillis: millis,
		inFlight: count,
		limit: z.number(),
		outcome: z.enum(['answered', 'not_run', 'unknown', 'caller_left']),
		elapsedMillis: millis,
		leftOut: count.optional(),
	}),
	'attempt failed': z.strictObject({
		request: id,
		route: z.string().optional(),
		account: z.string().optional(),
		promptParts: z.string().optional(),
		/** Hash of path, caller and body. */
		fingerprint: z.string().optional(),
		server: z.string(),
		end: z.enum(['not_sent', 'not_run', 'answered', 'lost', 'late', 'caller_left']),
		detail: z.string().optional(),
		cause: z.enum(['stopping']).optional(),
		status: z.number().int().optional(),
		faultyServer: z.string().optional(),
		/** Whole events that the backend server had sent in this attempt. */
		events: count.optional(),
		lastEventId: z.number().optional(),
		tookMillis: millis,
	}),
	'not repeated': z.strictObject({
		request: id, after: z.string(), attempts: count, maxAttempts: count,
	}),
	refused: z.strictObject({
		request: id.optional(),
		deadlineMillis: millis.optional(),
		retryAfterMillis: millis.optional(),
		outcome: z.enum(['not_run', 'unknown', 'bad_call']),
		reason: z.string(),
		elapsedMillis: millis.optional(),
		broken: z.boolean().optional(),
		host: z.string().optional(),
		path: z.string().optional(),
		version: version.optional(),
		configurationAgeMillis: millis.optional(),
		route: z.string().optional(),
		inFlight: count.optional(),
		waiting: count.optional(),
		limit: z.number().optional(),
		/** Where priorities compete: priority of the request, and permits that it had to leave to more urgent ones. */
		priority: count.optional(),
		reserved: z.number().nonnegative().optional(),
		cause: z.string().optional(),
		attempts: count.optional(),
		asked: z.string().optional(),
		/** Quarantined parts of the prompt, and the backend servers that crashed on them. */
		parts: z.string().optional(),
		crashed: z.string().optional(),
		/** Hash of the quarantined request. */
		fingerprint: z.string().optional(),
		status: z.number().int().optional(),
		heldBytes: count.optional(),
		/** Time for which a slow caller had read nothing. */
		stalledMillis: millis.optional(),
	}),
	'answer not delivered': z.strictObject({
		request: id.optional(),
		cause: z.enum(['stopped', 'connection_closed']),
		/** Bytes of the body, and those of the answer that had not been sent. */
		writtenBytes: count,
		unsentBytes: count,
	}),
	'request not run': z.strictObject({request: id.optional(), reason: z.enum(['connection_closed'])}),
	'request lost in a crash': z.strictObject({
		request: id, server: z.string(), startedAt: z.number(), promptParts: z.string(), fingerprint: z.string(),
	}),
	'request body not received': z.strictObject({detail: z.string(), leftOut: count.optional()}),
} as const;

const mapSwitchFields = {
	version: version.optional(), epoch: version, heldStep: version.optional(), witness: version.optional(), isPlannerAway: z.boolean().optional(),
};

/** Lines about the configuration, other processes and expert maps, as the process sees them. */
const systemLines = {
	'backend server limit': z.strictObject({server: z.string(), requestsPerSecond: z.number().optional(), entries: z.number()}),
	'permit loan': z.strictObject({
		service: z.string(),
		lender: z.string().optional(),
		borrower: z.string().optional(),
		sequence: count,
		outcome: z.enum(['lent', 'refused', 'borrowed', 'not_needed', 'denied', 'unanswered']),
		leftOut: count.optional(),
	}),
	'backend server crashed': z.strictObject({server: z.string(), startedAt: z.number(), address: z.string()}),
	'request quarantined': z.strictObject({fingerprint: z.string(), crashed: z.string(), requests: z.string()}),
	'request released': z.strictObject({fingerprint: z.string()}),
	'prompt parts quarantined': z.strictObject({parts: z.string(), crashed: z.string(), requests: z.string()}),
	'prompt parts released': z.strictObject({parts: z.string()}),
	'configuration in force': z.strictObject({version, former: version.optional(), routes: count}),
	'backend server': z.strictObject({
		server: z.string(), state: z.string(), service: z.string(), address: z.string(), startedAt: z.number(),
	}),
	'backend server leaving': z.strictObject({
		server: z.string(), startedAt: z.number(), request: id.optional(),
	}),
	'backend server pause': z.strictObject({server: z.string(), request: id.optional(), forMillis: millis}),
	'backend server gone': z.strictObject({server: z.string(), reason: z.string()}),
	'backend server avoided': z.strictObject({server: z.string(), failures: z.number(), forMillis: millis}),
	entry: z.strictObject({
		entry: z.string(), state: z.string(), former: z.string().optional(), generation: version, memberIncarnation: z.number().int(), address: z.string(),
	}),
	'caller share': z.strictObject({share: z.number(), entries: count, isByCapacity: z.boolean()}),
	registered: z.strictObject({generation: version, entries: count}),
	'another process has taken over this instance id': z.strictObject({generation: version, successor: version}),
	'feed is behind the other entries; reading changes': z.strictObject({table: z.string(), version, newest: version}),
	'datagrams cannot be sent': z.strictObject({detail: z.string()}),
	'unreadable member datagram': z.strictObject({from: z.string(), detail: z.string()}),
	'lost the table': z.strictObject({table: z.string(), detail: z.string(), version: version.optional()}),
	'connection to the store fell silent': z.strictObject({table: z.string()}),
	'regained the table': z.strictObject({table: z.string(), failures: count, version}),
	'table history no longer available; reading all rows': z.strictObject({table: z.string(), version: version.optional(), isRestored: z.boolean().optional()}),
	'entry names no backend server': z.strictObject({server: z.string(), detail: z.string()}),
	'unreadable configuration': z.strictObject({version, detail: z.string()}),
	'unreadable entry row': z.strictObject({key: z.string(), detail: z.string()}),
	'entry row not written': z.strictObject({error: z.string()}),
	'entry rows not read': z.strictObject({error: z.string()}),
	'entry row not removed': z.strictObject({error: z.string()}),
	'planning the expert map of the group': z.strictObject({group: z.string()}),
	'group cannot be planned': z.strictObject({reason: z.string(), rank: count, leftOut: count.optional()}),
	'map switch': z.strictObject({
		outcome: z.enum(['switched', 'not_begun', 'unfinished']),
		reason: z.string().optional(),
		version: version.optional(),
		step: count.optional(),
		tookMillis: millis.optional(),
		heldMillis: millis.optional(),
		epoch: version,
		copies: count,
		skewBefore: z.number(),
		skewAfter: z.number(),
	}),
	'map plan': z.strictObject({
		samples: count,
		planMillis: millis,
		copies: count,
	}),
	'map orders': z.strictObject({
		order: z.enum(['prepare', 'arm', 'disarm', 'hold', 'go']),
		version: version.optional(),
		ranks: count,
		/** Ranks that have executed it. */
		done: count,
		/** How often it was sent to any of them. */
		sends: count,
		tookMillis: millis,
		/** Time until half of the ranks, and the last one, had executed it. */
		medianMillis: millis,
		lastMillis: millis,
		/** Time after which an order without an answer is sent again. */
		answerTimeoutMillis: millis,
		/** By how much timers of the planner fired late at most: its processor was busy. */
		timerDelayMillis: millis,
	}),
	'map switch steps': z.strictObject({
		version, step: count, prepareMillis: millis, armMillis: millis, heldMillis: millis, leftOut: count.optional(),
	}),
	'fencing a map switch off': z.strictObject(mapSwitchFields),
	'map switch abandoned': z.strictObject(mapSwitchFields),
	'map switch completed': z.strictObject(mapSwitchFields),
	'releasing a hold without a proposal': z.strictObject(mapSwitchFields),
	'looked for a switch left behind': z.strictObject({
		epoch: version, step: count, armedVersion: version.optional(), isReadable: z.boolean(), isDirect: z.boolean(), tookMillis: millis,
	}),
	'map order': z.strictObject({
		order: z.string(), version: version.optional(), step: count.optional(), epoch: version, outcome: z.string(), detail: z.string(),
	}),
	'map version could not be read': z.strictObject({group: z.string(), error: z.string()}),
	'map version could not be written': z.strictObject({group: z.string(), error: z.string()}),
	'slow ranks': z.strictObject({
		group: z.string(), epoch: version.optional(), ranks: z.string().optional(), factors: z.string().optional(),
	}),
	'slow ranks could not be written': z.strictObject({group: z.string(), error: z.string()}),
} as const;

/** Lines about the process itself. */
const processLines = {
	started: z.strictObject({
		callers: z.string().optional(), engine: z.string().optional(), listen: z.string().optional(), store: z.string(), processId: count.optional(),
	}),
	'stop signal': z.strictObject({signal: z.string().optional()}),
	'takes no streams any more': z.strictObject({open: count}),
	'listens no more': z.strictObject({open: count}),
	stopped: z.strictObject({cutOff: count}),
	'settings file read again': z.strictObject({isChanged: z.boolean()}),
	'settings file is invalid; the current settings stay in force': z.looseObject({}),
	'cannot listen': z.strictObject({address: z.string(), detail: z.string()}),
	'clean-up failed': z.strictObject({name: z.string(), detail: z.string()}),
} as const;

/** Schema of the values of each line by its message, without the values that all lines of a process share. */
export const lineSchemas: Readonly<Record<string, z.ZodType>> = {...requestLines, ...systemLines, ...processLines};

/** Schema of the values that all lines of a process share. */
export const processContextSchema = z.object({
	instanceId: z.string(), incarnation: z.string(), failureDomain: z.string(), role: z.enum(['gateway', 'rank_agent']),
});

/** Describes the first value of a line that violates its schema; undefined when the line is valid. */
export function findLineFault(message: string, values: Readonly<Record<string, unknown>>): string | undefined {
	const schema = lineSchemas[message];
	if (!schema) {
		return `no such line: ${message}`;
	}

	const ownName = Object.keys(values).find(name => name in processContextSchema.shape);
	if (ownName !== undefined) {
		return `${message}: ${ownName} is a value of the process`;
	}

	const [issue] = schema.safeParse(values).error?.issues ?? [];
	return issue && `${message}: ${issue.path.join('.')} ${issue.message}`;
}

/** Identity of the process that wrote a line. */
export type ProcessContext = Readonly<z.infer<typeof processContextSchema>>;
