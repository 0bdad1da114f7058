import {Buffer} from 'node:buffer';
import {fail, succeed, type Result} from '../core/result.js';
import type {ConfigDocument} from '../wire/generated/link.js';
import {configurationSchema, type Configuration} from './configuration.js';

/** Serializes a configuration for the links between processes. */
export function createConfigDocument(configuration: Configuration): ConfigDocument {
	return {version: configuration.version, json: Buffer.from(JSON.stringify(configuration))};
}

/** Parses a configuration received from another process. */
export function parseConfigDocument(document: ConfigDocument): Result<Configuration, Readonly<{tag: 'ill_formed'; detail: string}>> {
	try {
		return succeed(configurationSchema.parse(JSON.parse(document.json.toString('utf8'))));
	} catch (error) {
		return fail({tag: 'ill_formed', detail: String(error)});
	}
}
