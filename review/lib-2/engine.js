/** Stand-in for an application engine: runs requests, and registers itself in the store. */
import {createServer} from 'node:http';
import process from 'node:process';

const BEAT_MILLIS = 1200;

let started = 0;

/**
 * Starts an engine of a service. `run(req, {id})` resolves to `{status, headers, body}`, or to `crash` to end the engine without an answer.
 * `onArrival` is called for each request when it has been received.
 */
export async function startEngine({store, service, run, onArrival = () => undefined, zone = 'zone-a', slots = 6}) {
	started++;
	const id = `i-${started}-${process.pid}`;
	const born = Date.now();
	let sequence = 0;
	let isDown = false;
	const sockets = new Set();

	async function serve(req, res) {
		const chunks = [];
		for await (const chunk of req) {
			chunks.push(chunk);
		}

		const attempt = req.headers['x-attempt-id'];
		const expected = req.headers['x-expect-instance'];
		if (expected !== undefined && expected !== id) {
			res.writeHead(421, {'X-Attempt-Id': attempt, 'X-Not-Run': '1', 'X-Server-Stamp': id});
			res.end();
			return;
		}

		onArrival({
			engine: id, attempt, method: req.method, path: req.url, headers: req.headers, atMillis: Date.now(),
		});
		const answer = await run({method: req.method, path: req.url, headers: req.headers}, {id});
		if (isDown) {
			return;
		}

		if (answer === 'crash') {
			end();
			return;
		}

		res.writeHead(answer.status, {'X-Attempt-Id': attempt, 'X-Server-Stamp': `${id}.${attempt}`, ...answer.headers});
		res.end(answer.body);
	}

	const server = createServer({keepAliveTimeout: 15_000}, (req, res) => {
		serve(req, res).catch(() => undefined);
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
	const address = `127.0.0.1:${server.address().port}`;

	function beat() {
		sequence++;
		store.put('servers', id, {
			Service: service, Address: address, Zone: zone, Version: 'v1', Slots: slots, State: 'ready', ColdLeftMs: 0, Seq: sequence, born,
		});
	}

	beat();
	const beating = setInterval(beat, BEAT_MILLIS);

	/** Ends the process as a crash does: its connections are reset, and its entry lapses after three intervals. */
	function end() {
		if (isDown) {
			return;
		}

		isDown = true;
		clearInterval(beating);
		server.close();
		for (const socket of sockets) {
			socket.resetAndDestroy();
		}

		setTimeout(() => {
			store.remove('servers', id);
		}, 3 * BEAT_MILLIS).unref();
	}

	return {id, address, end};
}
