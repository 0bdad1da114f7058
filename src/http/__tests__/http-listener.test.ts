import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createConnection} from 'node:net';
import {test, type TestContext} from 'node:test';
import {Agent, request} from 'undici';
import {createTestCertificate} from '../../../fakes/test-certificate.js';
import {createLifeCycle} from '../../core/life-cycle.js';
import {systemClock} from '../../core/system-clock.js';
import {listenHttp} from '../http-listener.js';
import type {TlsMaterial} from '../../access/link-access.js';

const ours = createTestCertificate();
const foreign = createTestCertificate();

async function startListener(t: TestContext, asksForCertificate: boolean): Promise<string> {
	const lifeCycle = createLifeCycle();
	t.after(async () => lifeCycle.shutdown());
	const listening = await listenHttp(() => new Response('served'), {
		name: 'listener', address: '127.0.0.1:0', clock: systemClock, lifeCycle, tls: {material: ours, asksForCertificate},
	});
	assert.ok(listening.ok);
	return `https://127.0.0.1:${listening.value}`;
}

/** Resolves to the response body, or to `refused` when the connection fails. */
async function fetchBody(url: string, own: TlsMaterial | undefined, authority: TlsMaterial): Promise<string> {
	const dispatcher = new Agent({
		connect: {
			ca: Buffer.from(authority.authority),
			...(own && {cert: Buffer.from(own.certificate), key: Buffer.from(own.key)}),
		},
	});
	try {
		const reply = await request(url, {dispatcher});
		return await reply.body.text();
	} catch {
		return 'refused';
	} finally {
		await dispatcher.destroy();
	}
}

const cases = [
	{
		name: 'an operator with a certificate of the authority', asks: true, own: ours, authority: ours, expected: 'served',
	},
	{
		name: 'an operator without a certificate', asks: true, own: undefined, authority: ours, expected: 'refused',
	},
	{
		name: 'an operator with a certificate of another authority', asks: true, own: foreign, authority: ours, expected: 'refused',
	},
	{
		name: 'a caller without a certificate', asks: false, own: undefined, authority: ours, expected: 'served',
	},
	{
		name: 'a caller that trusts another authority', asks: false, own: undefined, authority: foreign, expected: 'refused',
	},
];

for (const {name, asks, own, authority, expected} of cases) {
	test(`access over TLS: ${name} is ${expected}`, async t => {
		assert.equal(await fetchBody(await startListener(t, asks), own, authority), expected);
	});
}

test('the error for an address in use names the address', async t => {
	const url = new URL(await startListener(t, false));
	const lifeCycle = createLifeCycle();
	const second = await listenHttp(() => new Response(), {
		name: 'second', address: url.host, clock: systemClock, lifeCycle,
	});
	assert.deepEqual(second, {ok: false, error: {tag: 'listen_failed', address: url.host, detail: 'EADDRINUSE'}});
});

void test('an answer that is cut off by the shutdown is reported', async () => {
	const lifeCycle = createLifeCycle();
	const fastClock = {...systemClock, monotonicMillis: () => systemClock.monotonicMillis() * 50, sleep: async (millis: number) => systemClock.sleep(millis / 50)};
	const listening = await listenHttp(() => new Response('x'.repeat(20_000_000)), {
		name: 'listener', address: '127.0.0.1:0', clock: fastClock, lifeCycle,
	});
	assert.ok(listening.ok);
	const socket = createConnection(listening.value, '127.0.0.1');
	socket.on('error', () => undefined);
	socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
	await once(socket, 'readable');
	const failures = await lifeCycle.shutdown();
	socket.destroy();
	assert.equal(failures.length, 1);
	assert.match(String(failures[0]?.err), /1 answers were not sent/v);
});
