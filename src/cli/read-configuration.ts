import {configurationSchema, type Configuration} from '../configuration/configuration.js';
import {succeed, type Result} from '../core/result.js';
import {askEntry} from './ask-entry.js';
import type {AccessArguments} from './access-arguments.js';
import type {OperatorError} from './operator-client.js';

/** The configuration in force at the entry that is asked; undefined when it knows none yet. */
export async function readConfiguration(args: AccessArguments): Promise<Result<Configuration | undefined, OperatorError>> {
	const answer = await askEntry(args, {method: 'GET', path: '/v1/configuration'}, configurationSchema.nullable());
	return answer.ok ? succeed(answer.value ?? undefined) : answer;
}
