import {request} from 'undici';

/** Timeout for the response headers and for each pause within the body, in milliseconds. */
const RESPONSE_TIMEOUT_MILLIS = 10_000;

/** A response with its parsed JSON body. */
export type JsonReply = Readonly<{status: number; body: unknown}>;

/** Sends a request with a JSON body and parses the JSON response; undefined when there is no valid response. */
export async function exchangeJson(
	method: 'GET' | 'POST' | 'PUT' | 'DELETE',
	url: string,
	body?: unknown,
	headers: Readonly<Record<string, string>> = {},
): Promise<JsonReply | undefined> {
	try {
		const reply = await request(url, {
			method,
			headers: {'content-type': 'application/json', ...headers},
			body: body === undefined ? undefined : JSON.stringify(body),
			headersTimeout: RESPONSE_TIMEOUT_MILLIS,
			bodyTimeout: RESPONSE_TIMEOUT_MILLIS,
		});
		const text = await reply.body.text();
		return {status: reply.statusCode, body: text === '' ? undefined : JSON.parse(text)};
	} catch {
		return undefined;
	}
}

/** Whether `GET url` is answered with status 200. */
export async function respondsOk(url: string): Promise<boolean> {
	const reply = await exchangeJson('GET', url);
	return reply?.status === 200;
}
