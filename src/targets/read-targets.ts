import {fail, type Result} from '../core/result.js';
import {parseDocument, readText, type DocumentError} from '../toml/toml-document.js';
import {targetsSchema, type Targets} from './targets.js';

/** Finds a duplicate name or a reference that does not resolve. */
function findInvalidName(targets: Targets): Readonly<{field: string; detail: string}> | undefined {
	const services = targets.services.map(service => service.name);
	return findDuplicateName(targets)
		?? findUnknownService(targets, services)
		?? findServiceWithoutClass(targets)
		?? findGroupOfPlainService(targets);
}

function findDuplicateName(targets: Targets): Readonly<{field: string; detail: string}> | undefined {
	const lists = [
		['services', targets.services],
		['classes', targets.classes],
		['groups', targets.groups],
		['accounts', targets.accounts],
	] as const;
	for (const [list, items] of lists) {
		const seen = new Set<string>();
		for (const [i, item] of items.entries()) {
			if (seen.has(item.name)) {
				return {field: `${list}[${i}].name`, detail: `"${item.name}" is used twice`};
			}

			seen.add(item.name);
		}
	}

	return undefined;
}

function findUnknownService(targets: Targets, services: readonly string[]): Readonly<{field: string; detail: string}> | undefined {
	const lists = [['classes', targets.classes], ['groups', targets.groups]] as const;
	for (const [list, items] of lists) {
		const i = items.findIndex(item => !services.includes(item.service));
		if (i !== -1) {
			return {field: `${list}[${i}].service`, detail: `no service is named "${items[i]?.service}"`};
		}
	}

	return undefined;
}

function findServiceWithoutClass(targets: Targets): Readonly<{field: string; detail: string}> | undefined {
	const i = targets.services.findIndex(service => !targets.classes.some(workClass => workClass.service === service.name));
	return i === -1 ? undefined : {field: `services[${i}].name`, detail: `no work class refers to service "${targets.services[i]?.name}"`};
}

function findGroupOfPlainService(targets: Targets): Readonly<{field: string; detail: string}> | undefined {
	const i = targets.groups.findIndex(group => targets.services.some(service => service.name === group.service && service.kind === 'plain'));
	return i === -1 ? undefined : {field: `groups[${i}].service`, detail: 'a rank group needs a service of kind "model", but this one is "plain"'};
}

/** Parses the text of a targets file. */
export function parseTargets(text: string, file: string): Result<Targets, DocumentError> {
	const parsed = parseDocument(text, targetsSchema, file);
	if (!parsed.ok) {
		return parsed;
	}

	const invalidName = findInvalidName(parsed.value);
	return invalidName ? fail({tag: 'bad_document', file, ...invalidName}) : parsed;
}

/** Reads a targets file. */
export async function readTargets(file: string): Promise<Result<Targets, DocumentError>> {
	const text = await readText(file);
	return text.ok ? parseTargets(text.value, file) : text;
}
