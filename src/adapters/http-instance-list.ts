import {z} from 'zod';
import {fail, succeed} from '../core/result.js';
import type {InstanceList} from '../ports/instance-list.js';
import {createHttpClient, type HttpClientOptions} from './http-client.js';
import {parseReply, isSuccessStatus} from './http-reply.js';

const instancesSchema = z.object({
	instances: z.array(z.object({
		id: z.string().min(1),
		role: z.enum(['entry', 'agent']),
		region: z.string(),
		failureDomain: z.string(),
		state: z.enum(['live', 'leaving']),
		callerUrl: z.string(),
		linkAddress: z.string(),
		service: z.string(),
		group: z.string(),
		rank: z.number().int(),
	})),
});

/** Instance list over HTTP. */
export function createHttpInstanceList(options: HttpClientOptions): InstanceList {
	const client = createHttpClient(options);
	return {
		async list() {
			const reply = await client.exchange({method: 'GET', path: '/v1/instances'});
			if (!reply.ok) {
				return fail({tag: 'unavailable', detail: reply.error.detail});
			}

			if (!isSuccessStatus(reply.value.status)) {
				return fail({tag: 'unavailable', detail: `status ${reply.value.status}`});
			}

			const parsed = parseReply(reply.value, instancesSchema);
			return parsed.ok ? succeed(parsed.value.instances) : fail({tag: 'unavailable', detail: parsed.error.detail});
		},
	};
}
