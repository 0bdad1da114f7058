import {configurationSchema, type Configuration} from '../configuration/configuration.js';
import {succeed, type Result} from '../core/result.js';
import {sendToEntry} from './send-to-entry.js';
import type {AccessArguments} from './access-arguments.js';
import type {OperatorError} from './operator-client.js';

/** Reads the configuration in force at the first entry that can be reached; undefined when that entry has none yet. */
export async function readConfiguration(args: AccessArguments): Promise<Result<Configuration | undefined, OperatorError>> {
	const answer = await sendToEntry(args, {method: 'GET', path: '/v1/configuration'}, configurationSchema.nullable());
	return answer.ok ? succeed(answer.value ?? undefined) : answer;
}
