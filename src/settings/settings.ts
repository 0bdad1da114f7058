import {z} from 'zod';

const hostPort = z.string().regex(/^[\d.]+:\d{1,5}$/v, 'must be IP:port');
const url = z.url({protocol: /^https?$/v});
const name = z.string().min(1).max(200);

/** Files of the process's certificate; all three or none. */
const tlsSchema = z.strictObject({
	certificateFile: z.string().min(1),
	keyFile: z.string().min(1),
	/** Authority that peers and operators must have a certificate of. */
	authorityFile: z.string().min(1),
});

const platformSchema = z.strictObject({
	tableUrl: url,
	objectUrl: url,
	instanceListUrl: url,
});

const commonShape = {
	instanceId: name,
	region: name,
	failureDomain: name,
	/** Metrics, health and readiness. */
	metricsListen: hostPort,
	platform: platformSchema,
	/** File with the token that the system's processes show each other. */
	linkTokenFile: z.string().min(1).optional(),
	tls: tlsSchema.optional(),
	/** Time between two writes of audit records to the object store. */
	auditIntervalMillis: z.number().int().positive().default(30_000),
	/** Largest number of audit records that wait for the object store. */
	auditPendingRecords: z.number().int().positive().default(50_000),
	/** Time a shutdown waits for requests in flight. */
	drainMillis: z.number().int().positive().default(60_000),
};

/** Settings of an entry. */
const entrySchema = z.strictObject({
	...commonShape,
	role: z.literal('entry'),
	callerListen: hostPort,
	/** URL that callers are told. */
	callerUrl: url,
	operatorListen: hostPort,
	/** File with the token that operators show. */
	operatorTokenFile: z.string().min(1).optional(),
	/** Expert copies that the weight store serves a second, over all groups. */
	weightLoadsPerSecond: z.number().positive().default(20),
	/** Time that callers may keep an answer about addresses. */
	addressLifetimeMillis: z.number().int().positive().default(5000),
	/** Time between two looks at the expert load of a group. */
	planIntervalMillis: z.number().int().positive().default(5000),
	/** Largest body of a call in bytes. */
	maxBodyBytes: z.number().int().positive().default(1_048_576),
});

const backendSchema = z.strictObject({
	kind: z.enum(['engine', 'plain']),
	url,
	/** False for an engine that ignores the fencing token of an order. */
	checksFencing: z.boolean().default(true),
	/** Requests that the backend server works on at once. */
	capacity: z.number().int().positive().default(64),
});

/** Settings of an agent. */
const agentSchema = z.strictObject({
	...commonShape,
	role: z.literal('agent'),
	linkListen: hostPort,
	service: name,
	group: z.string().default(''),
	rank: z.number().int().min(-1).default(-1),
	backend: backendSchema,
	/** Largest number of idempotency keys remembered. */
	ledgerEntries: z.number().int().positive().default(100_000),
});

/** Schema of a settings file, with keys in camel case. */
export const settingsSchema = z.discriminatedUnion('role', [entrySchema, agentSchema]);

/** Settings of an entry. */
export type EntrySettings = Readonly<z.infer<typeof entrySchema>>;
/** Settings of an agent. */
export type AgentSettings = Readonly<z.infer<typeof agentSchema>>;
/** Settings of a process. */
export type Settings = EntrySettings | AgentSettings;
