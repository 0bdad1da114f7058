import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import {test} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {listenOn} from '../../../src/core/listen-on.js';
import {createHttpGroupLink} from '../group-link.js';

/** Address at which nothing listens. */
async function findRefusingUrl(): Promise<string> {
	const server = createServer();
	const listening = await listenOn(server, '127.0.0.1:0');
	server.close();
	assert.ok(listening.ok);
	return `http://127.0.0.1:${listening.value}`;
}

/** How the call ends when it is aborted `turns` turns of the event loop after it began. */
async function abortAfter(url: string, turns: number): Promise<unknown> {
	const controller = new AbortController();
	const call = createHttpGroupLink(url, 0, controller.signal).joinGroup().then(() => undefined, (error: unknown) => error);
	for (let i = 0; i < turns; i++) {
		// eslint-disable-next-line no-await-in-loop -- Turns follow one another.
		await nextTurn();
	}

	controller.abort();
	return call;
}

void test('a call to a group that refuses connections ends with the abort, whatever failed at that moment', async () => {
	const url = await findRefusingUrl();
	for (let i = 0; i < 400; i++) {
		// eslint-disable-next-line no-await-in-loop -- Calls follow one another.
		const error = await abortAfter(url, i % 40);
		assert.ok(error instanceof Error && error.name === 'AbortError', `after ${i % 40} turns: ${String(error)}`);
	}
});
