import {toSnakeCase} from '../toml/key-case.js';
import type {Targets} from './targets.js';

/** One difference between two versions of the targets; `before` or `after` is undefined when that version lacks the field. */
export type TargetChange = Readonly<{
	/** For example `classes.booking.late_after_millis`. */
	field: string;
	before: string | number | boolean | undefined;
	after: string | number | boolean | undefined;
}>;

type NamedItem = Readonly<Record<string, string | number | boolean>>;

function flattenFields(targets: Targets): ReadonlyMap<string, string | number | boolean> {
	const lists: ReadonlyArray<readonly [string, readonly NamedItem[]]> = [
		['services', targets.services],
		['classes', targets.classes],
		['groups', targets.groups],
		['accounts', targets.accounts],
	];
	const fields = new Map<string, string | number | boolean>();
	for (const [list, items] of lists) {
		for (const item of items) {
			for (const [key, value] of Object.entries(item)) {
				fields.set(`${list}.${String(item.name)}.${toSnakeCase(key)}`, value);
			}
		}
	}

	return fields;
}

/** Returns the differences from `before` to `after`, sorted by field name. */
export function diffTargets(before: Targets, after: Targets): readonly TargetChange[] {
	const left = flattenFields(before);
	const right = flattenFields(after);
	const fields = [...new Set([...left.keys(), ...right.keys()])].toSorted();
	return fields
		.map(field => ({field, before: left.get(field), after: right.get(field)}))
		.filter(change => change.before !== change.after);
}

/** Formats a change as one line for the operator. */
export function describeChange(change: TargetChange): string {
	if (change.before === undefined) {
		return `+ ${change.field} = ${String(change.after)}`;
	}

	if (change.after === undefined) {
		return `- ${change.field} = ${String(change.before)}`;
	}

	return `~ ${change.field}: ${String(change.before)} -> ${String(change.after)}`;
}
