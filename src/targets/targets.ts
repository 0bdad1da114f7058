import {z} from 'zod';

const name = z.string().regex(/^[a-z\d][a-z\d\-]{0,62}$/v, 'must be lower-case letters, digits and dashes');
const share = z.number().min(0).max(1);
const millis = z.number().int().positive();

/** A work class and its service-level targets. */
const workClassSchema = z.strictObject({
	name,
	service: name,
	/** An answer (for a stream, its first token) counts as late after this many milliseconds. */
	lateAfterMillis: millis,
	/** Largest allowed share of late answers. */
	lateShare: share,
	/** Largest allowed share of refused requests. */
	refusedShare: share,
	/** False for requests that must not run twice. */
	idempotent: z.boolean(),
	/** Requests with a higher priority are refused later under overload. */
	priority: z.number().int().min(0).max(100),
	/** Time limit of a whole request. */
	deadlineMillis: millis,
});

/** A service to which requests are routed. */
const serviceSchema = z.strictObject({
	name,
	kind: z.enum(['model', 'plain']),
});

/** A rank group, and whether its plans favour low skew or low cost. */
const groupSchema = z.strictObject({
	name,
	service: name,
	favour: z.enum(['skew', 'cost']),
});

/** A client account; only a digest of the credential is stored, never the credential itself. */
const accountSchema = z.strictObject({
	name,
	/** SHA-256 of the bearer credential, lower-case hex. */
	credentialDigest: z.string().regex(/^[\da-f]{64}$/v, 'must be 64 lower-case hex digits'),
});

/** Schema of a targets file, after its keys are converted to camel case. */
export const targetsSchema = z.strictObject({
	services: z.array(serviceSchema).min(1),
	classes: z.array(workClassSchema).min(1),
	groups: z.array(groupSchema).default([]),
	accounts: z.array(accountSchema).min(1),
});

/** A work class and its service-level targets. */
export type WorkClass = Readonly<z.infer<typeof workClassSchema>>;
/** A service to which requests are routed. */
export type ServiceTarget = Readonly<z.infer<typeof serviceSchema>>;
/** A rank group, and whether its plans favour low skew or low cost. */
export type GroupTarget = Readonly<z.infer<typeof groupSchema>>;
export type AccountTarget = Readonly<z.infer<typeof accountSchema>>;

/** Operator-managed targets: work classes, services, rank groups and client accounts. */
export type Targets = Readonly<{
	services: readonly ServiceTarget[];
	classes: readonly WorkClass[];
	groups: readonly GroupTarget[];
	accounts: readonly AccountTarget[];
}>;
