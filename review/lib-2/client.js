/** Stand-in for a client: one attempt on a new connection. */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {request} from 'node:http';
import {HOST, KEY} from './system.js';

/** Sends one attempt; resolves to its status, or to `closed` with the error. */
export async function sendAttempt({front, method = 'GET', path, body, deadlineMillis = 3000, headers = {}, agent}) {
	const attempt = randomBytes(8).toString('hex');
	const [host, port] = front.split(':');
	const sentAtMillis = Date.now();
	return new Promise(resolve => {
		const end = result => {
			resolve({
				attempt, front, path, sentAtMillis, tookMillis: Date.now() - sentAtMillis, ...result,
			});
		};

		const req = request({
			host,
			port,
			method,
			path,
			agent: agent ?? false,
			headers: {
				Host: HOST, 'X-Attempt-Id': attempt, 'X-Deadline-Ms': String(deadlineMillis), Authorization: `Bearer ${KEY}`, ...headers,
			},
			signal: AbortSignal.timeout(deadlineMillis + 1000),
		}, res => {
			const chunks = [];
			res.on('data', chunk => {
				chunks.push(chunk);
			});
			res.on('error', err => {
				end({status: 'closed', detail: err.message});
			});
			res.on('end', () => {
				end({status: res.statusCode, headers: res.headers, body: Buffer.concat(chunks).toString('latin1')});
			});
		});
		req.on('error', err => {
			end({status: 'closed', detail: err.message});
		});
		req.end(body);
	});
}
