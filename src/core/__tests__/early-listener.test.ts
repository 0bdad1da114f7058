import assert from 'node:assert/strict';
import {createServer, get} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import {test} from 'node:test';
import {listenEarly} from '../early-listener.js';
import {listenOn} from '../listen-on.js';

const HOST = '127.0.0.1';

/** Finds a free port. */
async function findPort(): Promise<number> {
	const server = createTcpServer();
	const bound = await listenOn(server, `${HOST}:0`);
	await new Promise(resolve => {
		server.close(resolve);
	});
	return bound.ok ? bound.value : 0;
}

async function call(port: number): Promise<string> {
	return new Promise((resolve, reject) => {
		get({host: HOST, port, agent: false}, res => {
			res.setEncoding('utf8');
			res.once('data', resolve);
		}).once('error', reject);
	});
}

void test('callers that connect while a process is being loaded are served, as are those after it, and none after the end', async () => {
	const port = await findPort();
	const early = await listenEarly({host: HOST, port});
	const waiting = [call(port), call(port)];
	await new Promise(resolve => {
		setTimeout(resolve, 50);
	});
	const server = createServer((req, res) => {
		res.end('served');
	});
	const listening = await listenOn(server, `${HOST}:${port}`, early);
	assert.equal(listening.ok && listening.value, port);
	assert.deepEqual(await Promise.all([...waiting, call(port)]), ['served', 'served', 'served']);
	await new Promise(resolve => {
		server.close(resolve);
	});
	await assert.rejects(call(port));
});

void test('an address in use is left to the server, which reports it', async () => {
	const port = await findPort();
	const other = createTcpServer();
	await listenOn(other, `${HOST}:${port}`);
	assert.equal(await listenEarly({host: HOST, port}), undefined);
	other.close();
});
