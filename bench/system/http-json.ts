import {request} from 'undici';

/** Longest wait for an answer of a process, in milliseconds. */
const TIMEOUT_MILLIS = 10_000;

/** An answer with its body as JSON. */
export type JsonReply = Readonly<{status: number; body: unknown}>;

/** Exchanges JSON with a process; undefined when there is no answer. */
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
			headersTimeout: TIMEOUT_MILLIS,
			bodyTimeout: TIMEOUT_MILLIS,
		});
		const text = await reply.body.text();
		return {status: reply.statusCode, body: text === '' ? undefined : JSON.parse(text)};
	} catch {
		return undefined;
	}
}

/** Whether a process answers `GET url` with 200. */
export async function answersWell(url: string): Promise<boolean> {
	const reply = await exchangeJson('GET', url);
	return reply?.status === 200;
}
