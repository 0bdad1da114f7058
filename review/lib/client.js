/** A caller that sends one request on a new connection and tells how the answer ended. */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {request} from 'node:http';

/**
 * Sends a request; resolves once its answer has ended. `end`: `complete`, as the protocol's framing says; `broken`, where the answer had begun;
 * `closed`, where nothing came; `refused`, where there was no connection; `left`, where the caller left at its deadline or, with `gapMillis`, after a gap of that length.
 */
export async function send({address, method = 'POST', path, host, key, deadlineMillis, headers = {}, body = 'x', gapMillis = Infinity, onData = () => undefined}) {
	const id = randomBytes(8).toString('hex');
	const sentAtMillis = performance.now();
	return new Promise(resolve => {
		const [hostname, port] = address.split(':');
		let res;
		let received = '';
		let hasConnected = false;
		const settle = end => {
			clearTimeout(timer);
			clearTimeout(gapTimer);
			resolve({
				id, address, path, sentAtMillis, endedAtMillis: performance.now(), end, status: res?.statusCode, headers: res?.headers, body: received,
			});
		};

		const req = request({
			hostname, port, method, path, agent: false, headers: {
				Host: host, 'X-Attempt-Id': id, 'X-Deadline-Ms': String(deadlineMillis), Authorization: `Bearer ${key}`, 'Content-Length': Buffer.byteLength(body), ...headers,
			},
		});
		const leave = () => {
			settle('left');
			req.destroy();
		};

		const timer = setTimeout(leave, deadlineMillis);
		const gapTimer = Number.isFinite(gapMillis) ? setTimeout(leave, gapMillis) : undefined;
		req.on('socket', socket => {
			socket.once('connect', () => {
				hasConnected = true;
			});
		});
		req.on('response', opened => {
			res = opened;
			res.on('data', bytes => {
				received += bytes.toString('utf8');
				gapTimer?.refresh();
				onData(received);
			});
			res.on('end', () => {
				settle(res.complete ? 'complete' : 'broken');
			});
			res.on('error', () => {
				settle('broken');
			});
		});
		req.on('error', () => {
			settle(hasConnected ? 'closed' : 'refused');
		});
		req.end(body);
	});
}
