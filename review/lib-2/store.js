/** Stand-in for the platform's store: rows, transactions, change feed, eras, and writes whose answers are lost. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

const STATUS_GONE = 410;
const STATUS_CONFLICT = 412;
const HISTORY_MILLIS = 20_000;
const PAGE_ROWS = 500;
/** Time of a transaction, in milliseconds. */
const TX_MILLIS = 4;

const encode = value => Buffer.from(JSON.stringify(value)).toString('base64');

async function readBody(req) {
	const chunks = [];
	for await (const chunk of req) {
		chunks.push(chunk);
	}

	return JSON.parse(Buffer.concat(chunks).toString('utf8'));
}

/**
 * Starts an empty store. `judgeWrite(tx)` is called for each write of the system; it returns `undefined`, or for how many milliseconds the write
 * is put off without an answer.
 */
export async function startStore({judgeWrite = () => undefined} = {}) {
	const startedAt = Date.now();
	let rows = new Map();
	let history = [];
	let version = 0;
	let oldest = 0;
	let era = 0;
	let copy;
	let isAway = false;
	const sockets = new Set();
	const waiters = new Set();
	/** Rows that the operator and the engines wrote last; they write them again after a return from a copy. */
	const foreign = new Map();

	const nameOf = (table, key) => `${table}\u0000${key}`;
	const stamp = () => ({Ver: version, NowMs: Date.now() - startedAt});

	function wake() {
		const woken = [...waiters];
		waiters.clear();
		for (const resume of woken) {
			resume();
		}
	}

	/** Applies the changes of one transaction. */
	function apply(changes) {
		version++;
		for (const {Table, Key, Value} of changes) {
			if (Value === undefined) {
				rows.delete(nameOf(Table, Key));
			} else {
				rows.set(nameOf(Table, Key), {
					Table, part: '', Key, Value, Ver: version,
				});
			}

			history.push({
				atMillis: Date.now(),
				row: Value === undefined
					? {
						Table, part: '', Key, Ver: version, Removed: true,
					}
					: {
						Table, part: '', Key, Value, Ver: version,
					},
			});
		}

		const forgotten = history.filter(({atMillis}) => Date.now() - atMillis > HISTORY_MILLIS);
		if (forgotten.length > 0) {
			oldest = Math.max(oldest, ...forgotten.map(({row}) => row.Ver));
			history = history.slice(forgotten.length);
		}

		wake();
	}

	function answer(res, status, body) {
		res.writeHead(status, {'Content-Type': 'application/json', 'Store-Era': String(era)});
		res.end(JSON.stringify(body));
	}

	const findFailed = tx => (tx.ExpectRev ?? []).filter(({Table, Key, Ver}) => (rows.get(nameOf(Table, Key))?.Ver ?? 0) !== Ver);

	function performWrite(tx) {
		const failed = findFailed(tx);
		if (failed.length > 0) {
			return {status: STATUS_CONFLICT, body: {Rows: failed.flatMap(({Table, Key}) => rows.get(nameOf(Table, Key)) ?? []), ...stamp()}};
		}

		apply([...(tx.Put ?? []), ...(tx.Remove ?? []).map(({Table, Key}) => ({Table, Key}))]);
		return {status: 200, body: stamp()};
	}

	async function serveWrite(req, res) {
		const tx = await readBody(req);
		const delayMillis = judgeWrite(tx);
		if (delayMillis !== undefined) {
			// The connection delivers nothing further, and the write is performed later if its condition still holds then.
			setTimeout(() => {
				performWrite(tx);
			}, delayMillis);
			return;
		}

		setTimeout(() => {
			const {status, body} = performWrite(tx);
			answer(res, status, body);
		}, TX_MILLIS);
	}

	function serveRows(url, res) {
		const table = url.searchParams.get('Table');
		const from = url.searchParams.get('From') ?? '';
		const found = [...rows.values()].filter(row => row.Table === table && row.Key >= from).toSorted((left, right) => left.Key < right.Key ? -1 : 1);
		answer(res, 200, {Rows: found.slice(0, PAGE_ROWS), MorePages: found.length > PAGE_ROWS, ...stamp()});
	}

	async function serveFeed(url, res) {
		const table = url.searchParams.get('Table');
		const after = Number(url.searchParams.get('AfterRev'));
		const dueMillis = Date.now() + Number(url.searchParams.get('WaitMs'));
		const eraAtStart = era;
		const readChanges = () => history.map(({row}) => row).filter(row => row.Table === table && row.Ver > after);
		if (after < oldest || after > version) {
			answer(res, STATUS_GONE, {});
			return;
		}

		while (readChanges().length === 0 && Date.now() < dueMillis && !res.destroyed) {
			// eslint-disable-next-line no-await-in-loop -- Waits for one change after the other.
			await new Promise(resolve => {
				const timer = setTimeout(resolve, dueMillis - Date.now());
				waiters.add(() => {
					clearTimeout(timer);
					resolve();
				});
			});
			if (era !== eraAtStart) {
				return;
			}
		}

		answer(res, 200, {Rows: readChanges(), ...stamp()});
	}

	const server = createServer((req, res) => {
		const url = new URL(req.url, 'http://store');
		if (isAway) {
			req.socket.destroy();
		} else if (url.pathname === '/rows-tx') {
			serveWrite(req, res).catch(() => res.destroy());
		} else if (url.pathname === '/rows-feed') {
			serveFeed(url, res).catch(() => res.destroy());
		} else {
			serveRows(url, res);
		}
	});
	server.on('connection', socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			sockets.delete(socket);
		});
	});
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});

	return {
		address: `127.0.0.1:${server.address().port}`,
		/** Writes a row for the operator or an engine. */
		put(table, key, value) {
			foreign.set(nameOf(table, key), {Table: table, Key: key, Value: encode(value)});
			if (!isAway) {
				apply([{Table: table, Key: key, Value: encode(value)}]);
			}
		},
		remove(table, key) {
			foreign.delete(nameOf(table, key));
			if (!isAway) {
				apply([{Table: table, Key: key}]);
			}
		},
		listKeys: table => [...rows.values()].filter(row => row.Table === table).map(({Key, Ver}) => `${Key}@${Ver}`),
		takeCopy() {
			copy = {rows: new Map(rows), history: [...history], version};
		},
		/** The store is away for a moment, comes back from the copy, and the operator and the engines write their rows again. */
		async returnFromCopy(awayMillis) {
			isAway = true;
			for (const socket of sockets) {
				socket.destroy();
			}

			await new Promise(resolve => {
				setTimeout(resolve, awayMillis);
			});
			era++;
			({rows, history, version} = copy);
			rows = new Map(rows);
			history = [...history];
			wake();
			isAway = false;
			const written = [...foreign.values()];
			apply(written);
		},
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}

			wake();
		},
	};
}
