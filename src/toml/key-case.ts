/** Converts `late_after_ms` to `lateAfterMs`. */
export function toCamelCase(key: string): string {
	return key.replaceAll(/_([a-z\d])/gv, (_, letter: string) => letter.toUpperCase());
}

/** Converts `lateAfterMs` to `late_after_ms`. */
export function toSnakeCase(key: string): string {
	return key.replaceAll(/[A-Z]/gv, letter => `_${letter.toLowerCase()}`);
}

/** Converts the keys of nested tables to camel case; keys with an upper-case letter become unknown keys, which the schema rejects. */
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

/** A key already in camel case would match the schema like its snake-case form; the added hint makes it an unknown key. */
function convertKey(key: string): string {
	return /[A-Z]/v.test(key) ? `${key} (write it as ${toSnakeCase(key)})` : toCamelCase(key);
}
