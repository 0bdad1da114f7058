/** Stand-in for an engine: reads requests of known length, one at a time on a connection, and lets a handler write the bytes of each answer. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:net';
import {listen} from './net.js';

const HEAD_END = '\r\n\r\n';

/** Status line and headers of an answer, without the empty line; `more` holds further header lines. */
export function formatHead(req, {status = '200 OK', more = ''} = {}) {
	return `HTTP/1.1 ${status}\r\nX-Attempt-Id: ${req.headers['x-attempt-id']}\r\nX-Server-Stamp: stamp-${req.headers['x-attempt-id']}\r\n${more}`;
}

/** Answers with a body of known length. */
export function writeWhole(req, socket, body) {
	socket.write(`${formatHead(req, {more: `Content-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\n`})}\r\n${body}`);
}

export const formatEvent = id => `id: ${id}\ndata: piece ${id}\n\n`;

/** An event stream in chunks. */
export function startChunkedStream(req, socket) {
	socket.write(`${formatHead(req, {more: 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n'})}\r\n`);
	return {
		write(text) {
			return socket.write(`${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`);
		},
		end() {
			socket.write('0\r\n\r\n');
		},
	};
}

/** Starts an engine on a free port. `run` works on a request that is for this engine and writes its answer; it is told when its connection is closed. */
export async function startEngine({id, host, run}) {
	const sockets = new Set();
	const server = createServer(socket => {
		let pending = Buffer.alloc(0);
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			sockets.delete(socket);
		});
		socket.on('data', bytes => {
			pending = Buffer.concat([pending, bytes]);
			for (let end = pending.indexOf(HEAD_END); end !== -1; end = pending.indexOf(HEAD_END)) {
				const [requestLine, ...lines] = pending.subarray(0, end).toString('latin1').split('\r\n');
				const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
				const bodyEnd = end + HEAD_END.length + Number(headers['content-length'] ?? 0);
				if (pending.length < bodyEnd) {
					return;
				}

				const body = pending.subarray(end + HEAD_END.length, bodyEnd).toString('utf8');
				pending = pending.subarray(bodyEnd);
				const [method, path] = requestLine.split(' ');
				const req = {
					method, path, headers, body,
				};
				if (headers['x-expect-instance'] === id) {
					run(req, socket);
				} else {
					socket.write(`HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: ${headers['x-attempt-id']}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n`);
				}
			}
		});
	});
	const port = await listen(server, host);
	return {
		id,
		address: `${host}:${port}`,
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}
