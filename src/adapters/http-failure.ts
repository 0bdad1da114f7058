/** An exchange without a whole reply. */
export type HttpFailure
	/** Not a byte of the request was written. */
	= | Readonly<{tag: 'not_sent'; detail: string}>
	/** The request may have arrived and taken effect. */
		| Readonly<{tag: 'no_answer'; detail: string}>;

/** Codes of errors that come before a connection exists. */
const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
	'ECONNREFUSED',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'ENOTFOUND',
	'EADDRNOTAVAIL',
	'UND_ERR_CONNECT_TIMEOUT',
]);

function codeOf(error: unknown): string {
	const code: unknown = error instanceof Error ? Reflect.get(error, 'code') : undefined;
	return typeof code === 'string' ? code : '';
}

function detailOf(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}

/** Sorts an error of the HTTP library; whatever is not surely before the first byte counts as sent. */
export function toHttpFailure(error: unknown): HttpFailure {
	const code = codeOf(error);
	const detail = [code, detailOf(error)].filter(Boolean).join(': ');
	return {tag: CONNECT_ERROR_CODES.has(code) ? 'not_sent' : 'no_answer', detail};
}

/** Codes of the library's own timeouts. */
const TIMEOUT_CODES: ReadonlySet<string> = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT']);

/** Whether an error says that the server fell silent, rather than that the caller gave up. */
export function isTimeout(error: unknown): boolean {
	return TIMEOUT_CODES.has(codeOf(error)) || (error instanceof Error && error.name === 'TimeoutError');
}
