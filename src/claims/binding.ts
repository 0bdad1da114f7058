/** Encodes the bindings of idempotency keys to one agent incarnation for callers, as base64url of JSON. */
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import type {KeyBinding} from '../dispatch/call-request.js';

const bindingSchema = z.strictObject({
	service: z.string().min(1),
	agentId: z.string().min(1),
	incarnation: z.string().min(1),
	linkAddress: z.string().regex(/^[\d.]+:\d{1,5}$/v),
});

/** Encodes a binding as an opaque token that callers send back unchanged. */
export function encodeBinding(binding: KeyBinding): string {
	return Buffer.from(JSON.stringify(binding)).toString('base64url');
}

/** Decodes the binding that a caller sent; undefined when it is malformed. */
export function decodeBinding(text: string): KeyBinding | undefined {
	try {
		const parsed = bindingSchema.safeParse(JSON.parse(Buffer.from(text, 'base64url').toString('utf8')));
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}
