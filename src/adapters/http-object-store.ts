import {z} from 'zod';
import {fail, succeed, type Result} from '../core/result.js';
import type {ObjectError, ObjectStore} from '../ports/object-store.js';
import {createHttpClient, type HttpClientOptions} from './http-client.js';
import {parseReply, isNoEffectStatus, isSuccessStatus} from './http-reply.js';

const CONFLICT_STATUS = 409;
const NOT_FOUND_STATUS = 404;

const keysSchema = z.object({keys: z.array(z.string())});

function unavailable(detail: string): {readonly ok: false; readonly error: ObjectError} {
	return fail({tag: 'unavailable', detail});
}

function readCreateStatus(status: number): Result<void, ObjectError> {
	if (isSuccessStatus(status)) {
		return succeed(undefined);
	}

	if (status === CONFLICT_STATUS) {
		return fail({tag: 'exists'});
	}

	const detail = `status ${status}`;
	return fail({tag: isNoEffectStatus(status) ? 'unavailable' : 'reply_lost', detail});
}

/** Object store over HTTP. */
export function createHttpObjectStore(options: HttpClientOptions): ObjectStore {
	const client = createHttpClient(options);
	const pathOf = (key: string) => `/v1/objects/${encodeURIComponent(key)}`;

	return {
		async create(key, bytes) {
			const reply = await client.exchange({method: 'PUT', path: pathOf(key), body: bytes});
			if (reply.ok) {
				return readCreateStatus(reply.value.status);
			}

			const {tag, detail} = reply.error;
			return fail({tag: tag === 'not_sent' ? 'unavailable' : 'reply_lost', detail});
		},
		async read(key) {
			const reply = await client.exchange({method: 'GET', path: pathOf(key)});
			if (!reply.ok) {
				return unavailable(reply.error.detail);
			}

			if (reply.value.status === NOT_FOUND_STATUS) {
				return succeed(undefined);
			}

			return isSuccessStatus(reply.value.status)
				? succeed(reply.value.body)
				: unavailable(`status ${reply.value.status}`);
		},
		async list(prefix) {
			const reply = await client.exchange({method: 'GET', path: `/v1/objects?prefix=${encodeURIComponent(prefix)}`});
			if (!reply.ok) {
				return unavailable(reply.error.detail);
			}

			const parsed = parseReply(reply.value, keysSchema);
			return parsed.ok ? succeed(parsed.value.keys) : unavailable(parsed.error.detail);
		},
	};
}
