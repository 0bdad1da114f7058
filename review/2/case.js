/**
 * A gateway ends while it passes on a stream that has neither a length nor chunks: it is told to stop and ends the stream itself near the end of
 * its grace period, or with `DISRUPTION=kill` it is killed.
 */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	BOUNDS, HOST, KEY, startDeployment,
} from '../lib/deployment.js';
import {formatEvent, formatHead} from '../lib/engine.js';
import {send} from '../lib/client.js';
import {runCase} from '../lib/run-case.js';

const isStop = process.env.DISRUPTION !== 'kill';
/** The mean of the site has 24 events, and its longest stream 60; a pause of up to 120 ms is on time. */
const EVENTS = isStop ? 60 : 24;
const PAUSE_MILLIS = isStop ? 110 : 80;
/** Events after which the gateway is killed. */
const EVENTS_BEFORE_KILL = 10;
/** Time from the SIGTERM to the requests; callers keep an address for at least 2 s. */
const SENT_AFTER_MILLIS = 1900;

/** An answer that has neither a length nor chunks, and ends with its connection. */
async function streamUnframed(req, socket) {
	socket.write(`${formatHead(req, {more: 'Content-Type: text/event-stream\r\nConnection: close\r\n'})}\r\n`);
	for (let id = Number(req.headers['last-event-id'] ?? 0) + 1; id <= EVENTS && !socket.destroyed; id++) {
		// eslint-disable-next-line no-await-in-loop -- Events follow each other.
		await sleep(PAUSE_MILLIS);
		socket.write(formatEvent(id));
	}

	socket.end();
}

const countEvents = text => text.split('\n\n').length - 1;

await runCase(import.meta.dirname, async ({record, isTroubled}) => {
	const deployment = await startDeployment({
		record,
		engines: Array.from({length: 12}, (_, i) => ({id: `i-llm-${i}`, service: 'llm', run: streamUnframed})),
	});
	const [ended] = deployment.gateways;
	if (isStop && isTroubled) {
		record(`SIGTERM to ${ended.name}`);
		ended.child.kill('SIGTERM');
		setTimeout(() => {
			ended.child.kill('SIGKILL');
		}, BOUNDS.GraceS * 1000);
		await sleep(SENT_AFTER_MILLIS);
	}

	const answers = await Promise.all(deployment.gateways.map(async gateway => {
		let isKilled = false;
		return send({
			address: gateway.front, path: '/draft/1', host: HOST, key: KEY, deadlineMillis: 8017, headers: {'X-Model': 'm', 'X-Token-Count': '714,96'}, onData(text) {
				if (!isStop && isTroubled && gateway === ended && !isKilled && countEvents(text) >= EVENTS_BEFORE_KILL) {
					isKilled = true;
					record(`SIGKILL to ${gateway.name}`);
					gateway.child.kill('SIGKILL');
				}
			},
		});
	}));
	const breaches = [];
	for (const {id, address, end, status, headers, body, sentAtMillis, endedAtMillis} of answers) {
		const took = Math.round(endedAtMillis - sentAtMillis);
		record(`request ${id} at ${address}: ${end} after ${took} ms, status ${status}, ${countEvents(body)} of ${EVENTS} events, the last one ${body.endsWith('\n\n') ? 'whole' : 'cut'}`);
		record(`its headers: ${JSON.stringify(headers)}`);
		if (end === 'complete' && status === 200 && countEvents(body) < EVENTS) {
			breaches.push(`request ${id} got a complete success with ${countEvents(body)} of the engine's ${EVENTS} events`);
		}
	}

	await deployment.close();
	return breaches;
});
