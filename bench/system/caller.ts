import {Buffer} from 'node:buffer';
import {request, type Dispatcher} from 'undici';
import {z} from 'zod';
import {sha256Hex} from '../../src/core/digest.js';

/** Longest time without data from the entry before the caller gives up, in milliseconds. */
const IDLE_TIMEOUT_MILLIS = 30_000;
const HTTP_OK = 200;

/** How one request ended for its caller. */
export type CallerOutcome
	/** A complete answer; `text` is the body of a plain service, or the concatenated tokens of a model. */
	= | Readonly<{tag: 'answered'; text: string; tokens: readonly string[]; isRepeated: boolean}>
		| Readonly<{tag: 'not_run'; reason: string; retryAfterMillis: number | undefined; status: number}>
		| Readonly<{tag: 'unknown'; reason: string}>
	/** A streamed answer that ended with a cut event, or without an end event. */
		| Readonly<{tag: 'cut'; reason: string; tokens: readonly string[]}>
	/** An answer that contradicts itself or is malformed, such as an end event that does not match the tokens before it. */
		| Readonly<{tag: 'faulty'; detail: string}>
	/** The connection was refused: nothing was sent. */
		| Readonly<{tag: 'not_connected'}>
	/** The connection failed before any outcome arrived. */
		| Readonly<{tag: 'disconnected'; detail: string}>;

/** Entry addresses that a caller may connect to. */
export type AddressAnswer = z.infer<typeof addressSchema>;

const addressSchema = z.object({
	addresses: z.array(z.object({url: z.string(), failureDomain: z.string()})),
	lifetimeMillis: z.number(),
	configVersion: z.number(),
	bindings: z.array(z.object({service: z.string(), binding: z.string()})),
});

/** What every request of a caller carries. */
export type CallerRequest = Readonly<{
	/** Base URL of the entry. */
	url: string;
	credential: string;
	service: string;
	workClass: string;
	deadlineMillis?: number;
}>;

/** A request to a plain service. */
export type PlainRequest = CallerRequest & Readonly<{
	body: string;
	key?: string;
	binding?: string;
	isFirstUse?: boolean;
}>;

/** A request to a model service for a streamed answer. */
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

function parseRefusal(status: number, text: string): CallerOutcome {
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

function toConnectionOutcome(error: unknown): CallerOutcome {
	const code: unknown = error instanceof Error ? Reflect.get(error, 'code') : undefined;
	return code === 'ECONNREFUSED' ? {tag: 'not_connected'} : {tag: 'disconnected', detail: String(error)};
}

async function post(path: string, req: CallerRequest, headers: Record<string, string>, body: string): Promise<Dispatcher.ResponseData> {
	return request(`${req.url}${path}`, {
		method: 'POST',
		headers,
		body,
		headersTimeout: IDLE_TIMEOUT_MILLIS,
		bodyTimeout: IDLE_TIMEOUT_MILLIS,
	});
}

/** Requests the addresses to use from an entry; undefined when there is no valid answer. */
export async function fetchAddresses(url: string, credential: string): Promise<AddressAnswer | undefined> {
	try {
		const reply = await request(`${url}/v1/addresses`, {headers: {authorization: `Bearer ${credential}`}});
		const parsed = addressSchema.safeParse(parseJson(await reply.body.text()));
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}

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
			: parseRefusal(reply.statusCode, text);
	} catch (error) {
		return toConnectionOutcome(error);
	}
}

type ServerSentEvent = Readonly<{event: string; data: unknown}>;

/** Splits a body into server-sent events. */
async function * readEvents(body: AsyncIterable<Uint8Array>): AsyncGenerator<ServerSentEvent> {
	let incompleteBlock = '';
	for await (const chunk of body) {
		incompleteBlock += Buffer.from(chunk).toString('utf8');
		const blocks = incompleteBlock.split('\n\n');
		incompleteBlock = blocks.pop() ?? '';
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

/** Reads a streamed answer to its end and checks offsets, token count and digest. */
async function readAnswer(body: AsyncIterable<Uint8Array>, onTokens: () => void): Promise<CallerOutcome> {
	const tokens: string[] = [];
	for await (const {event, data} of readEvents(body)) {
		if (event === 'tokens') {
			const tokensEvent = tokensSchema.parse(data);
			if (tokensEvent.offset !== tokens.length) {
				return {tag: 'faulty', detail: `tokens start at offset ${tokensEvent.offset}, expected ${tokens.length}`};
			}

			tokens.push(...tokensEvent.tokens);
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
			const isComplete = end.count === tokens.length && end.digest === sha256Hex(text);
			return isComplete
				? {
					tag: 'answered', text, tokens, isRepeated: false,
				}
				: {tag: 'faulty', detail: `end event declares ${end.count} tokens, ${tokens.length} received, or the digest differs`};
		}
	}

	return {tag: 'cut', reason: 'no end event', tokens};
}

/** Requests a streamed answer from a model; `onTokens` runs at each tokens event. */
export async function askModel(req: ModelRequest, onTokens: () => void = noop): Promise<CallerOutcome> {
	const headers = {...createHeaders(req), 'content-type': 'application/json'};
	try {
		const body = JSON.stringify({prompt: req.prompt, maxTokens: req.maxTokens});
		const reply = await post(`/v1/models/${req.service}/answers`, req, headers, body);
		return reply.statusCode === HTTP_OK ? await readAnswer(reply.body, onTokens) : parseRefusal(reply.statusCode, await reply.body.text());
	} catch (error) {
		return toConnectionOutcome(error);
	}
}

function noop(): void {
	// The caller does not follow the stream.
}
