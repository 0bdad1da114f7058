import type {z} from 'zod';
import {fail, succeed, type Result} from '../core/result.js';
import {readAccess, type AccessArguments} from './access-arguments.js';
import {createOperatorClient, type OperatorError, type OperatorRequest} from './operator-client.js';

/** Sends a request to the first entry that can be reached and validates the answer against `schema`. */
export async function sendToEntry<T>(args: AccessArguments, req: OperatorRequest, schema: z.ZodType<T>): Promise<Result<T, OperatorError>> {
	const client = createOperatorClient(readAccess(args));
	const answer = await client(req);
	if (!answer.ok) {
		return answer;
	}

	const parsed = schema.safeParse(answer.value);
	return parsed.success ? succeed(parsed.data) : fail({tag: 'no_answer', detail: 'the answer has an unknown shape; the entry may run another release'});
}
