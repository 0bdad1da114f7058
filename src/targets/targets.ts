import {z} from 'zod';

const name = z.string().regex(/^[a-z\d][a-z\d\-]{0,62}$/v, 'must be lower-case letters, digits and dashes');
const share = z.number().min(0).max(1);
const millis = z.number().int().positive();

/** A class of work and what is promised for it. */
const workClassSchema = z.strictObject({
	name,
	service: name,
	/** An answer (for a stream: its first token) is late after this many milliseconds. */
	lateAfterMillis: millis,
	/** Largest share of answers that may be late. */
	lateShare: share,
	/** Largest share of requests that may be refused. */
	refusedShare: share,
	/** False for work that must not run twice. */
	idempotent: z.boolean(),
	/** Larger is refused later. */
	priority: z.number().int().min(0).max(100),
	/** Largest time a request may take in all. */
	deadlineMillis: millis,
});

/** A service that the system routes to. */
const serviceSchema = z.strictObject({
	name,
	kind: z.enum(['model', 'plain']),
});

/** A rank group and what its users weigh more. */
const groupSchema = z.strictObject({
	name,
	service: name,
	favour: z.enum(['skew', 'cost']),
});

/** A client account; the credential itself is kept nowhere. */
const accountSchema = z.strictObject({
	name,
	/** SHA-256 of the bearer credential, lower-case hex. */
	credentialDigest: z.string().regex(/^[\da-f]{64}$/v, 'must be 64 lower-case hex digits'),
});

/** Schema of a targets file, with keys in camel case. */
export const targetsSchema = z.strictObject({
	services: z.array(serviceSchema).min(1),
	classes: z.array(workClassSchema).min(1),
	groups: z.array(groupSchema).default([]),
	accounts: z.array(accountSchema).min(1),
});

/** A class of work and what is promised for it. */
export type WorkClass = Readonly<z.infer<typeof workClassSchema>>;
/** A service that the system routes to. */
export type ServiceTarget = Readonly<z.infer<typeof serviceSchema>>;
/** A rank group and what its users weigh more. */
export type GroupTarget = Readonly<z.infer<typeof groupSchema>>;
/** A client account. */
export type AccountTarget = Readonly<z.infer<typeof accountSchema>>;

/** What operators decide: classes of work, services, groups and client accounts. */
export type Targets = Readonly<{
	services: readonly ServiceTarget[];
	classes: readonly WorkClass[];
	groups: readonly GroupTarget[];
	accounts: readonly AccountTarget[];
}>;
