/** Stand-in for the platform's store: rows, transactions and feeds as PROTOCOL.md describes them. It keeps all history. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {listen, readBody} from './net.js';

const TX_MILLIS = 4;
const PAGE_ROWS = 500;

/**
 * Starts an empty store on a free port of this loopback address. Its feed gives each change, in order; with `givesLastChanges` only the last one of
 * each row.
 */
export async function startStore(host, {givesLastChanges = false} = {}) {
	const rows = new Map();
	const history = [];
	const startedAtMillis = performance.now();
	let version = 0;
	let waiters = [];

	const describeVersion = () => ({Ver: version, NowMs: Math.round(performance.now() - startedAtMillis)});

	function record(change) {
		history.push(change);
		const waiting = waiters;
		waiters = [];
		for (const wake of waiting) {
			wake();
		}
	}

	/** Applies the entries of one transaction; its rows share one version. */
	function apply(puts, removes) {
		version++;
		for (const {Table, Key, Value} of puts) {
			const row = {
				Table, part: '', Key, Value, Ver: version,
			};
			rows.set(`${Table}/${Key}`, row);
			record(row);
		}

		for (const {Table, Key} of removes) {
			rows.delete(`${Table}/${Key}`);
			record({
				Table, part: '', Key, Ver: version, Removed: true,
			});
		}
	}

	function answer(res, status, body) {
		res.writeHead(status, {'content-type': 'application/json'});
		res.end(JSON.stringify(body));
	}

	async function serveFeed(query, res) {
		const after = Number(query.get('AfterRev'));
		const dueMillis = performance.now() + Number(query.get('WaitMs') ?? 0);
		const read = () => {
			const changes = history.filter(row => row.Table === query.get('Table') && row.Ver > after);
			return givesLastChanges ? changes.filter(row => !changes.some(({Key, Ver}) => Key === row.Key && Ver > row.Ver)) : changes;
		};

		while (read().length === 0 && performance.now() < dueMillis && !res.destroyed) {
			const ended = new AbortController();
			waiters.push(() => {
				ended.abort();
			});
			// eslint-disable-next-line no-await-in-loop -- A change of another table does not end the wait.
			await sleep(dueMillis - performance.now(), undefined, {signal: ended.signal}).catch(() => undefined);
		}

		answer(res, 200, {Rows: read(), ...describeVersion()});
	}

	function serveRows(query, res) {
		const from = query.get('From') ?? '';
		const found = [...rows.values()].filter(row => row.Table === query.get('Table') && row.Key >= from).toSorted((left, right) => left.Key < right.Key ? -1 : 1);
		answer(res, 200, {Rows: found.slice(0, PAGE_ROWS), MorePages: found.length > PAGE_ROWS, ...describeVersion()});
	}

	async function serveWrite(req, res) {
		const body = await readBody(req);
		const {ExpectRev = [], Put = [], Remove = []} = JSON.parse(body.toString('utf8'));
		await sleep(TX_MILLIS);
		const failed = ExpectRev.filter(({Table, Key, Ver}) => (rows.get(`${Table}/${Key}`)?.Ver ?? 0) !== Ver);
		if (failed.length > 0) {
			answer(res, 412, {Rows: failed.flatMap(({Table, Key}) => rows.get(`${Table}/${Key}`) ?? []), ...describeVersion()});
			return;
		}

		apply(Put, Remove);
		answer(res, 200, describeVersion());
	}

	const server = createServer((req, res) => {
		const url = new URL(req.url, 'http://store');
		const served = {
			'/rows-feed': async () => serveFeed(url.searchParams, res),
			'/rows-get': async () => serveRows(url.searchParams, res),
			'/rows-tx': async () => serveWrite(req, res),
		}[url.pathname];
		if (served) {
			served();
		} else {
			answer(res, 404, {});
		}
	});
	server.keepAliveTimeout = 60_000;
	const port = await listen(server, host);
	return {
		port,
		/** Writes a row as the operator or an engine does; its return is the acknowledgement. */
		put(table, key, value) {
			apply([{Table: table, Key: key, Value: Buffer.from(JSON.stringify(value)).toString('base64')}], []);
		},
		remove(table, key) {
			apply([], [{Table: table, Key: key}]);
		},
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
}
