import {z} from 'zod';
import {fail, succeed, type Result} from '../core/result.js';
import type {Row, TableError, TableStore} from '../ports/table-store.js';
import {createHttpClient, type HttpClientOptions, type HttpReply} from './http-client.js';
import {parseReply, isNoEffectStatus, isSuccessStatus} from './http-reply.js';

const CONFLICT_STATUS = 409;
const NOT_FOUND_STATUS = 404;

const rowSchema = z.object({
	table: z.string(),
	key: z.string(),
	version: z.number().int().positive(),
	value: z.unknown(),
});
const rowsSchema = z.object({rows: z.array(rowSchema)});

function unavailable(detail: string): {readonly ok: false; readonly error: TableError} {
	return fail({tag: 'unavailable', detail});
}

function replyLost(detail: string): {readonly ok: false; readonly error: TableError} {
	return fail({tag: 'reply_lost', detail});
}

function readRowsOrElse(
	reply: HttpReply,
	otherwise: (detail: string) => Result<readonly Row[], TableError>,
): Result<readonly Row[], TableError> {
	const parsed = parseReply(reply, rowsSchema);
	return parsed.ok ? succeed(parsed.value.rows) : otherwise(parsed.error.detail);
}

function readConflict(reply: HttpReply): Result<readonly Row[], TableError> {
	const parsed = parseReply(reply, rowsSchema);
	return fail({tag: 'conflict', rows: parsed.ok ? parsed.value.rows : []});
}

function readTransactReply(reply: HttpReply): Result<readonly Row[], TableError> {
	if (reply.status === CONFLICT_STATUS) {
		return readConflict(reply);
	}

	if (isSuccessStatus(reply.status)) {
		return readRowsOrElse(reply, replyLost);
	}

	const detail = `status ${reply.status}`;
	return isNoEffectStatus(reply.status) ? unavailable(detail) : replyLost(detail);
}

function readRow(reply: HttpReply): Result<Row | undefined, TableError> {
	if (reply.status === NOT_FOUND_STATUS) {
		return succeed(undefined);
	}

	if (!isSuccessStatus(reply.status)) {
		return unavailable(`status ${reply.status}`);
	}

	const parsed = parseReply(reply, rowSchema);
	return parsed.ok ? succeed(parsed.value) : unavailable(parsed.error.detail);
}

/** Table service over HTTP. */
export function createHttpTableStore(options: HttpClientOptions): TableStore {
	const client = createHttpClient(options);
	const pathOf = (table: string) => `/v1/tables/${encodeURIComponent(table)}/rows`;

	return {
		async read(table, key) {
			const reply = await client.exchange({method: 'GET', path: `${pathOf(table)}/${encodeURIComponent(key)}`});
			return reply.ok ? readRow(reply.value) : unavailable(reply.error.detail);
		},
		async list(table, prefix) {
			const reply = await client.exchange({
				method: 'GET',
				path: `${pathOf(table)}?prefix=${encodeURIComponent(prefix)}`,
			});
			if (!reply.ok) {
				return unavailable(reply.error.detail);
			}

			return isSuccessStatus(reply.value.status)
				? readRowsOrElse(reply.value, unavailable)
				: unavailable(`status ${reply.value.status}`);
		},
		async transact(tx) {
			const reply = await client.exchange({
				method: 'POST',
				path: '/v1/transactions',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify(tx),
			});
			if (reply.ok) {
				return readTransactReply(reply.value);
			}

			const {tag, detail} = reply.error;
			return tag === 'not_sent' ? unavailable(detail) : replyLost(detail);
		},
	};
}
