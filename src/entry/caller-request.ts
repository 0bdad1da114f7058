/** Validates a caller's request and converts it to a {@link CallRequest}. */
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {decodeBinding} from '../claims/binding.js';
import type {Configuration} from '../configuration/configuration.js';
import type {Clock} from '../core/clock.js';
import {sha256Hex} from '../core/digest.js';
import type {RequestId} from '../core/ids.js';
import {notRun, type Outcome} from '../core/outcome.js';
import {fail, succeed, type Result} from '../core/result.js';
import type {CallRequest, IdempotencyKey} from '../dispatch/call-request.js';
import {findPromptPrefixes} from '../dispatch/prompt-prefixes.js';
import type {ServiceTarget, WorkClass} from '../targets/targets.js';
import {MAX_KEY_LENGTH, MAX_TOKENS} from './caller-constants.js';

/** A request that was refused before dispatch. */
export type Refusal = Extract<Outcome, {tag: 'not_run'}>;

/** A caller's request before validation. */
export type RawRequest = Readonly<{
	requestId: RequestId;
	service: string;
	kind: ServiceTarget['kind'];
	headers: Headers;
	body: Uint8Array;
}>;

const modelBodySchema = z.strictObject({
	prompt: z.string(),
	maxTokens: z.number().int().positive().max(MAX_TOKENS),
});

function badRequest(field: string, detail: string): Result<never, Refusal> {
	return fail(notRun('bad_request', `${field}: ${detail}`));
}

/** Finds the account that the request's bearer credential belongs to. */
export function authenticate(cfg: Configuration, headers: Headers): Result<string, Refusal> {
	const bearer = /^Bearer (?<credential>.+)$/v.exec(headers.get('Authorization') ?? '');
	const digest = sha256Hex(bearer?.groups?.credential ?? '');
	const account = bearer && cfg.targets.accounts.find(known => known.credentialDigest === digest);
	return account ? succeed(account.name) : fail(notRun('unauthenticated', 'Authorization: no known bearer credential'));
}

function findWorkClass(cfg: Configuration, raw: RawRequest): Result<WorkClass, Refusal> {
	const classes = cfg.targets.classes.filter(item => item.service === raw.service);
	const name = raw.headers.get('Pollenport-Class');
	const found = name === null ? classes[0] : classes.find(item => item.name === name);
	return found ? succeed(found) : badRequest('Pollenport-Class', `no class ${name ?? ''} of service ${raw.service}`);
}

function parseDeadlineMillis(raw: RawRequest, workClass: WorkClass): Result<number, Refusal> {
	const text = raw.headers.get('Pollenport-Deadline-Ms');
	if (text === null) {
		return succeed(workClass.deadlineMillis);
	}

	const isNumber = /^[1-9]\d{0,8}$/v.test(text);
	return isNumber ? succeed(Math.min(workClass.deadlineMillis, Number(text))) : badRequest('Pollenport-Deadline-Ms', 'must be a positive whole number');
}

function parseKeyUse(raw: RawRequest, workClass: WorkClass): Result<IdempotencyKey | undefined, Refusal> {
	if (workClass.idempotent) {
		return succeed(undefined);
	}

	if (raw.kind === 'model') {
		return badRequest('Pollenport-Class', 'a model service takes idempotent classes only');
	}

	const key = raw.headers.get('Idempotency-Key') ?? '';
	if (key === '' || key.length > MAX_KEY_LENGTH) {
		return badRequest('Idempotency-Key', `class ${workClass.name} needs a key of 1 to ${MAX_KEY_LENGTH} characters`);
	}

	const isFirstUse = raw.headers.get('Pollenport-First-Use') === 'true';
	const text = raw.headers.get('Pollenport-Binding');
	if (text === null) {
		return succeed({tag: 'own', key, isFirstUse});
	}

	const binding = decodeBinding(text);
	return binding
		? succeed({
			tag: 'bound', key, isFirstUse, binding,
		})
		: badRequest('Pollenport-Binding', 'not a binding of this system');
}

function parseModelBody(body: Uint8Array): Result<z.infer<typeof modelBodySchema>, Refusal> {
	try {
		const parsed = modelBodySchema.safeParse(JSON.parse(Buffer.from(body).toString('utf8')));
		const issue = parsed.error?.issues[0];
		return parsed.success ? succeed(parsed.data) : badRequest(['body', ...issue?.path ?? []].join('.'), issue?.message ?? 'ill-formed');
	} catch {
		return badRequest('body', 'not JSON');
	}
}

function parsePrompt(raw: RawRequest): Result<Pick<CallRequest, 'prefixes' | 'promptTokens'>, Refusal> {
	if (raw.kind === 'plain') {
		return succeed({prefixes: [], promptTokens: 0});
	}

	const parsed = parseModelBody(raw.body);
	return parsed.ok ? succeed(findPromptPrefixes(parsed.value.prompt)) : parsed;
}

/** Validates the request; returns the request to dispatch, or why it is refused. */
export function parseCallerRequest(clock: Clock, cfg: Configuration, raw: RawRequest): Result<CallRequest, Refusal> {
	const account = authenticate(cfg, raw.headers);
	if (!account.ok) {
		return account;
	}

	if (!cfg.targets.services.some(service => service.name === raw.service && service.kind === raw.kind)) {
		return fail(notRun('unknown_service', `no ${raw.kind} service ${raw.service}`));
	}

	const workClass = findWorkClass(cfg, raw);
	if (!workClass.ok) {
		return workClass;
	}

	const deadline = parseDeadlineMillis(raw, workClass.value);
	if (!deadline.ok) {
		return deadline;
	}

	const key = parseKeyUse(raw, workClass.value);
	if (!key.ok) {
		return key;
	}

	const prompt = parsePrompt(raw);
	if (!prompt.ok) {
		return prompt;
	}

	return succeed({
		requestId: raw.requestId,
		account: account.value,
		service: raw.service,
		workClass: workClass.value,
		deadlineMillis: clock.monotonicMillis() + deadline.value,
		body: raw.body,
		requestDigest: sha256Hex(raw.service, '\0', raw.body),
		key: key.value,
		...prompt.value,
	});
}
