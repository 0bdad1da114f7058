/** Failure of an exchange: no complete reply arrived. */
export type HttpFailure
	/** No byte of the request was written. */
	= | Readonly<{tag: 'not_sent'; detail: string}>
		/** The request may have arrived and taken effect. */
		| Readonly<{tag: 'no_answer'; detail: string; isTimeout?: true}>;

/** Codes of errors that occur before a connection is established. */
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

/** Classifies an error of the HTTP library; unless it certainly occurred before the first byte, the request counts as sent. */
export function toHttpFailure(error: unknown): HttpFailure {
	const code = codeOf(error);
	const detail = [code, detailOf(error)].filter(Boolean).join(': ');
	if (CONNECT_ERROR_CODES.has(code)) {
		return {tag: 'not_sent', detail};
	}

	return isTimeout(error) ? {tag: 'no_answer', detail, isTimeout: true} : {tag: 'no_answer', detail};
}

/** Codes of the library's own timeouts. */
const TIMEOUT_CODES: ReadonlySet<string> = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT']);

/** Whether an error is a timeout of the server, as opposed to a cancellation by the caller. */
export function isTimeout(error: unknown): boolean {
	return TIMEOUT_CODES.has(codeOf(error)) || (error instanceof Error && error.name === 'TimeoutError');
}
