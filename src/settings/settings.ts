import {z} from 'zod';

const hostPort = z.string().regex(/^[\d.]+:\d{1,5}$/v, 'must be IP:port');
const url = z.url({protocol: /^https?$/v});
const name = z.string().min(1).max(200);

/** TLS files of the process; either all three are set or none. */
const tlsSchema = z.strictObject({
	certificateFile: z.string().min(1),
	keyFile: z.string().min(1),
	/** Certificate authority that must have issued the certificates of peers and operators. */
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
	/** Address for metrics, health checks and readiness probes. */
	metricsListen: hostPort,
	platform: platformSchema,
	/** File with the token that processes of the system present to each other. */
	linkTokenFile: z.string().min(1).optional(),
	tls: tlsSchema.optional(),
	/** Interval between writes of audit records to the object store. */
	auditIntervalMillis: z.number().int().positive().default(30_000),
	/** Largest number of audit records not yet written to the object store. */
	auditPendingRecords: z.number().int().positive().default(50_000),
	/** Time that a shutdown waits for requests in flight. */
	drainMillis: z.number().int().positive().default(60_000),
};

const entrySchema = z.strictObject({
	...commonShape,
	role: z.literal('entry'),
	callerListen: hostPort,
	/** URL announced to callers. */
	callerUrl: url,
	operatorListen: hostPort,
	/** File with the token that operators must present. */
	operatorTokenFile: z.string().min(1).optional(),
	/** Expert copies that the weight store can serve per second, for all groups together. */
	weightLoadsPerSecond: z.number().positive().default(20),
	/** Time that callers may cache an address response. */
	addressLifetimeMillis: z.number().int().positive().default(5000),
	/** Interval at which the planner checks the expert load of a group. */
	planIntervalMillis: z.number().int().positive().default(5000),
	/** Largest request body, in bytes. */
	maxBodyBytes: z.number().int().positive().default(1_048_576),
});

const backendSchema = z.strictObject({
	kind: z.enum(['engine', 'plain']),
	url,
	/** False for an engine that ignores the fencing token of an order. */
	checksFencing: z.boolean().default(true),
	/** Largest number of requests that the backend server processes concurrently. */
	capacity: z.number().int().positive().default(64),
});

const agentSchema = z.strictObject({
	...commonShape,
	role: z.literal('agent'),
	linkListen: hostPort,
	service: name,
	group: z.string().default(''),
	rank: z.number().int().min(-1).default(-1),
	backend: backendSchema,
	/** Largest number of idempotency keys kept in the ledger. */
	ledgerEntries: z.number().int().positive().default(100_000),
});

/** Schema of a settings file, after its keys are converted to camel case. */
export const settingsSchema = z.discriminatedUnion('role', [entrySchema, agentSchema]);

export type EntrySettings = Readonly<z.infer<typeof entrySchema>>;
export type AgentSettings = Readonly<z.infer<typeof agentSchema>>;
export type Settings = EntrySettings | AgentSettings;
