import {z} from 'zod';
import {fail, succeed} from '../core/result.js';
import type {PlainService} from '../ports/plain-service.js';
import {createHttpClient, type HttpClientOptions} from './http-client.js';
import {parseReply} from './http-reply.js';

const loadSchema = z.object({
	running: z.number().int().nonnegative(),
	queued: z.number().int().nonnegative(),
	ageMillis: z.number().nonnegative(),
});

/** Creates an HTTP client of a plain service. An answer of any status counts as the answer of the service. */
export function createHttpPlainService(options: HttpClientOptions): PlainService {
	const client = createHttpClient(options);
	return {
		async call({attemptId, idempotencyKey, body, timeoutMillis}) {
			return client.exchange({
				method: 'POST',
				path: '/v1/calls',
				headers: {
					'content-type': 'application/json',
					'x-attempt-id': attemptId,
					...(idempotencyKey === '' ? {} : {'idempotency-key': idempotencyKey}),
				},
				body,
				timeoutMillis,
			});
		},
		async readLoad() {
			const reply = await client.exchange({method: 'GET', path: '/v1/load'});
			if (!reply.ok) {
				return reply;
			}

			const parsed = parseReply(reply.value, loadSchema);
			return parsed.ok ? succeed(parsed.value) : fail({tag: 'no_answer', detail: parsed.error.detail});
		},
	};
}
