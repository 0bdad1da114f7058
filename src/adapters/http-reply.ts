import type {z} from 'zod';
import {fail, succeed, type Result} from '../core/result.js';
import type {HttpReply} from './http-client.js';

/** The body of a reply does not have the expected shape. */
export type MalformedReply = Readonly<{detail: string}>;

/** From this status on the server failed. */
const SERVER_ERROR_STATUS = 500;
const SERVICE_UNAVAILABLE_STATUS = 503;
const REQUEST_TIMEOUT_STATUS = 408;

/** Whether the status says that the request had no effect: refused, or put off. */
export function isNoEffectStatus(status: number): boolean {
	if (status === SERVICE_UNAVAILABLE_STATUS) {
		return true;
	}

	return status >= 300 && status < SERVER_ERROR_STATUS && status !== REQUEST_TIMEOUT_STATUS;
}

/** Whether the status says that the request succeeded. */
export function isSuccessStatus(status: number): boolean {
	return status >= 200 && status < 300;
}

/** Reads the JSON body of a reply. */
export function parseReply<T>(reply: HttpReply, schema: z.ZodType<T>): Result<T, MalformedReply> {
	try {
		const parsed = schema.safeParse(JSON.parse(new TextDecoder().decode(reply.body)));
		return parsed.success ? succeed(parsed.data) : fail({detail: `ill-formed reply: ${parsed.error.message}`});
	} catch {
		return fail({detail: 'ill-formed reply: not JSON'});
	}
}
