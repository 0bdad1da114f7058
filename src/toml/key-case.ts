/** `late_after_ms` style to `lateAfterMs` style. */
export function toCamelCase(key: string): string {
	return key.replaceAll(/_([a-z\d])/gv, (_, letter: string) => letter.toUpperCase());
}

/** `lateAfterMs` style to `late_after_ms` style. */
export function toSnakeCase(key: string): string {
	return key.replaceAll(/[A-Z]/gv, letter => `_${letter.toLowerCase()}`);
}

/** Converts the keys of nested tables to camel case; keys that hold an upper-case letter are kept, and so refused later. */
export function camelCaseKeys(value: unknown): unknown {
	if (Array.isArray(value)) {
		return value.map(item => camelCaseKeys(item));
	}

	if (typeof value !== 'object' || value === null || value instanceof Date) {
		return value;
	}

	const entries = Object.entries(value).map(([key, item]): [string, unknown] => [convertKey(key), camelCaseKeys(item)]);
	return Object.fromEntries(entries);
}

/** A key written in camel case would pass as its snake case twin; the mark makes it unknown. */
function convertKey(key: string): string {
	return /[A-Z]/v.test(key) ? `${key} (write it as ${toSnakeCase(key)})` : toCamelCase(key);
}
