import type {z} from 'zod';
import {fail, succeed, type Result} from '../core/result.js';
import type {HttpReply} from './http-client.js';

/** The body of a reply does not match its schema. */
export type MalformedReply = Readonly<{detail: string}>;

/** Lowest status of a server error. */
const SERVER_ERROR_STATUS = 500;
const SERVICE_UNAVAILABLE_STATUS = 503;
const REQUEST_TIMEOUT_STATUS = 408;

/** Whether the status shows that the request had no effect: it was refused, or the service was unavailable. */
export function isNoEffectStatus(status: number): boolean {
	if (status === SERVICE_UNAVAILABLE_STATUS) {
		return true;
	}

	return status >= 300 && status < SERVER_ERROR_STATUS && status !== REQUEST_TIMEOUT_STATUS;
}

/** Whether the status shows that the request succeeded. */
export function isSuccessStatus(status: number): boolean {
	return status >= 200 && status < 300;
}

/** Parses the JSON body of a reply. */
export function parseReply<T>(reply: Pick<HttpReply, 'body'>, schema: z.ZodType<T>): Result<T, MalformedReply> {
	try {
		const parsed = schema.safeParse(JSON.parse(new TextDecoder().decode(reply.body)));
		return parsed.success ? succeed(parsed.data) : fail({detail: `malformed reply: ${parsed.error.message}`});
	} catch {
		return fail({detail: 'malformed reply: not JSON'});
	}
}
