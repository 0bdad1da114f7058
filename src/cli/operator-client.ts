import {readFile} from 'node:fs/promises';
import {Agent, request} from 'undici';
import {describeError} from '../core/describe-error.js';
import {fail, succeed, type Result} from '../core/result.js';

/** Timeout for the answer of an entry, in milliseconds. */
const REQUEST_TIMEOUT_MILLIS = 20_000;
const FIRST_ERROR_STATUS = 400;

/** URLs and credentials with which the operators' tool reaches an entry. */
export type OperatorAccess = Readonly<{
	/** Operator URLs of entries, tried in order until a connection succeeds. */
	urls: readonly string[];
	tokenFile: string | undefined;
	authorityFile: string | undefined;
	certificateFile: string | undefined;
	keyFile: string | undefined;
}>;

/** Why a request to an entry failed. */
export type OperatorError
	= | Readonly<{tag: 'bad_access'; detail: string}>
		/** No connection to any entry succeeded: nothing was changed. */
		| Readonly<{tag: 'unreachable'; detail: string}>
		/** The request was sent but no valid answer received: it may have taken effect. */
		| Readonly<{tag: 'no_answer'; detail: string}>
		| Readonly<{tag: 'refused'; status: number; body: unknown}>;

/** A request to the operator listener of an entry. */
export type OperatorRequest = Readonly<{method: 'GET' | 'PUT' | 'POST' | 'DELETE'; path: string; body?: unknown}>;

/** Sends a request to the first entry that can be reached. */
export type OperatorClient = (req: OperatorRequest) => Promise<Result<unknown, OperatorError>>;

type Connection = Readonly<{dispatcher: Agent; headers: Readonly<Record<string, string>>}>;

const NO_HEADERS: Readonly<Record<string, string>> = {};

async function readOptional(file: string | undefined): Promise<string | undefined> {
	return file === undefined ? undefined : readFile(file, 'utf8');
}

async function prepareConnection(access: OperatorAccess): Promise<Result<Connection, OperatorError>> {
	try {
		const token = await readOptional(access.tokenFile);
		const ca = await readOptional(access.authorityFile);
		const cert = await readOptional(access.certificateFile);
		const key = await readOptional(access.keyFile);
		return succeed({
			dispatcher: new Agent({connect: {ca, cert, key}, headersTimeout: REQUEST_TIMEOUT_MILLIS, bodyTimeout: REQUEST_TIMEOUT_MILLIS}),
			headers: token === undefined ? NO_HEADERS : {authorization: `Bearer ${token.trim()}`},
		});
	} catch (error) {
		return fail({tag: 'bad_access', detail: `a token or certificate file cannot be read: ${describeError(error)}`});
	}
}

const NOT_CONNECTED_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT']);

async function send(url: string, req: OperatorRequest, connection: Connection): Promise<Result<unknown, OperatorError>> {
	try {
		const res = await request(new URL(req.path, url), {
			method: req.method,
			dispatcher: connection.dispatcher,
			headers: {'content-type': 'application/json', ...connection.headers},
			body: req.body === undefined ? undefined : JSON.stringify(req.body),
		});
		const text = await res.body.text();
		const body = parseBody(text);
		return res.statusCode < FIRST_ERROR_STATUS ? succeed(body) : fail({tag: 'refused', status: res.statusCode, body});
	} catch (error) {
		const detail = `${url}: ${describeError(error)}`;
		return fail({tag: NOT_CONNECTED_CODES.has(describeError(error)) ? 'unreachable' : 'no_answer', detail});
	}
}

function parseBody(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return text;
	}
}

/** Creates the client. It tries the next entry only when the connection to the previous one failed. */
export function createOperatorClient(access: OperatorAccess): OperatorClient {
	return async req => {
		const connection = await prepareConnection(access);
		if (!connection.ok) {
			return connection;
		}

		const details: string[] = [];
		for (const url of access.urls) {
			// Entries are tried one after the other, so that a change is sent to one of them only.
			// eslint-disable-next-line no-await-in-loop
			const answer = await send(url, req, connection.value);
			if (answer.ok || answer.error.tag !== 'unreachable') {
				return answer;
			}

			details.push(answer.error.detail);
		}

		return fail({tag: 'unreachable', detail: details.join('; ')});
	};
}
