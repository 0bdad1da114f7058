import {Buffer} from 'node:buffer';
import {request, type Dispatcher} from 'undici';
import {z} from 'zod';
import {sha256Hex} from '../../src/core/digest.js';

/** Longest silence of an answer before the caller gives up, in milliseconds. */
const SILENCE_TIMEOUT_MILLIS = 30_000;
const OK = 200;

/** What a caller got in the end. */
export type CallerOutcome
	/** A whole answer; `text` is the body of a plain service, or the tokens one after the other. */
	= | Readonly<{tag: 'answered'; text: string; tokens: readonly string[]; isRepeated: boolean}>
		| Readonly<{tag: 'not_run'; reason: string; retryAfterMillis: number | undefined; status: number}>
		| Readonly<{tag: 'unknown'; reason: string}>
	/** A streamed answer that ended with a cut event, or without an end. */
		| Readonly<{tag: 'cut'; reason: string; tokens: readonly string[]}>
	/** An end event that does not fit what came before it. */
		| Readonly<{tag: 'faulty'; detail: string}>
	/** The connection was refused: nothing was sent. */
		| Readonly<{tag: 'not_connected'}>
	/** The connection broke before any outcome. */
		| Readonly<{tag: 'disconnected'; detail: string}>;

/** Where a caller may connect. */
export type AddressAnswer = z.infer<typeof addressSchema>;

const addressSchema = z.object({
	addresses: z.array(z.object({url: z.string(), failureDomain: z.string()})),
	lifetimeMillis: z.number(),
	configVersion: z.number(),
	bindings: z.array(z.object({service: z.string(), binding: z.string()})),
});

/** One call of a caller. */
export type CallerRequest = Readonly<{
	/** Base URL of the entry. */
	url: string;
	credential: string;
	service: string;
	workClass: string;
	deadlineMillis?: number;
}>;

/** A call to a plain service. */
export type PlainRequest = CallerRequest & Readonly<{
	body: string;
	key?: string;
	binding?: string;
	isFirstUse?: boolean;
}>;

/** A request for a streamed answer. */
export type ModelRequest = CallerRequest & Readonly<{prompt: string; maxTokens: number}>;

function createHeaders(req: CallerRequest): Record<string, string> {
	const headers: Record<string, string> = {
		authorization: `Bearer ${req.credential}`,
		'pollenport-class': req.workClass,
	};
	if (req.deadlineMillis !== undefined) {
		headers['pollenport-deadline-ms'] = String(req.deadlineMillis);
	}

	return headers;
}

const refusalSchema = z.object({outcome: z.string(), reason: z.string().default(''), retryAfterMillis: z.number().nullish()});

function readRefusal(status: number, text: string): CallerOutcome {
	const parsed = refusalSchema.safeParse(parseJson(text));
	if (!parsed.success) {
		return {tag: 'faulty', detail: `HTTP ${status}: ${text}`};
	}

	const {outcome, reason, retryAfterMillis} = parsed.data;
	return outcome === 'unknown'
		? {tag: 'unknown', reason}
		: {
			tag: 'not_run', reason, retryAfterMillis: retryAfterMillis ?? undefined, status,
		};
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

function readFailure(error: unknown): CallerOutcome {
	const code: unknown = error instanceof Error ? Reflect.get(error, 'code') : undefined;
	return code === 'ECONNREFUSED' ? {tag: 'not_connected'} : {tag: 'disconnected', detail: String(error)};
}

async function post(path: string, req: CallerRequest, headers: Record<string, string>, body: string): Promise<Dispatcher.ResponseData> {
	return request(`${req.url}${path}`, {
		method: 'POST',
		headers,
		body,
		headersTimeout: SILENCE_TIMEOUT_MILLIS,
		bodyTimeout: SILENCE_TIMEOUT_MILLIS,
	});
}

/** Asks an entry which addresses to use. */
export async function fetchAddresses(url: string, credential: string): Promise<AddressAnswer | undefined> {
	try {
		const reply = await request(`${url}/v1/addresses`, {headers: {authorization: `Bearer ${credential}`}});
		const parsed = addressSchema.safeParse(parseJson(await reply.body.text()));
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}

/** Calls a plain service. */
export async function callService(req: PlainRequest): Promise<CallerOutcome> {
	const headers = createHeaders(req);
	if (req.key !== undefined) {
		headers['idempotency-key'] = req.key;
	}

	if (req.binding !== undefined) {
		headers['pollenport-binding'] = req.binding;
	}

	if (req.isFirstUse) {
		headers['pollenport-first-use'] = 'true';
	}

	try {
		const reply = await post(`/v1/services/${req.service}/calls`, req, headers, req.body);
		const text = await reply.body.text();
		return reply.headers['pollenport-outcome'] === 'answered'
			? {
				tag: 'answered', text, tokens: [], isRepeated: reply.headers['pollenport-repeated'] === 'true',
			}
			: readRefusal(reply.statusCode, text);
	} catch (error) {
		return readFailure(error);
	}
}

type ServerEvent = Readonly<{event: string; data: unknown}>;

/** Splits a body into server-sent events. */
async function * readEvents(body: AsyncIterable<Uint8Array>): AsyncGenerator<ServerEvent> {
	let rest = '';
	for await (const chunk of body) {
		rest += Buffer.from(chunk).toString('utf8');
		const blocks = rest.split('\n\n');
		rest = blocks.pop() ?? '';
		for (const block of blocks) {
			const lines = block.split('\n');
			const event = lines.find(line => line.startsWith('event:'))?.slice('event:'.length).trim() ?? 'message';
			const data = lines.filter(line => line.startsWith('data:')).map(line => line.slice('data:'.length).trim()).join('\n');
			yield {event, data: parseJson(data)};
		}
	}
}

const tokensSchema = z.object({offset: z.number(), tokens: z.array(z.string())});
const endSchema = z.object({count: z.number(), digest: z.string()});
const cutSchema = z.object({outcome: z.string(), reason: z.string()});

/** Reads a streamed answer to its end, and checks offsets, count and digest. */
async function readAnswer(body: AsyncIterable<Uint8Array>, onTokens: () => void): Promise<CallerOutcome> {
	const tokens: string[] = [];
	for await (const {event, data} of readEvents(body)) {
		if (event === 'tokens') {
			const piece = tokensSchema.parse(data);
			if (piece.offset !== tokens.length) {
				return {tag: 'faulty', detail: `tokens from ${piece.offset} where ${tokens.length} was next`};
			}

			tokens.push(...piece.tokens);
			onTokens();
			continue;
		}

		if (event === 'cut') {
			const cut = cutSchema.parse(data);
			return {tag: 'cut', reason: cut.reason, tokens};
		}

		if (event === 'end') {
			const end = endSchema.parse(data);
			const text = tokens.join('');
			const isWhole = end.count === tokens.length && end.digest === sha256Hex(text);
			return isWhole
				? {
					tag: 'answered', text, tokens, isRepeated: false,
				}
				: {tag: 'faulty', detail: `end says ${end.count} tokens, ${tokens.length} came, or the digest differs`};
		}
	}

	return {tag: 'cut', reason: 'no end event', tokens};
}

/** Asks a model for a streamed answer; `onTokens` runs at each piece. */
export async function askModel(req: ModelRequest, onTokens: () => void = ignore): Promise<CallerOutcome> {
	const headers = {...createHeaders(req), 'content-type': 'application/json'};
	try {
		const body = JSON.stringify({prompt: req.prompt, maxTokens: req.maxTokens});
		const reply = await post(`/v1/models/${req.service}/answers`, req, headers, body);
		return reply.statusCode === OK ? await readAnswer(reply.body, onTokens) : readRefusal(reply.statusCode, await reply.body.text());
	} catch (error) {
		return readFailure(error);
	}
}

function ignore(): void {
	// Nobody waits for the pieces.
}
