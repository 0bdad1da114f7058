/** An engine sends a stream body without end, of short lines in chunks of their own, and the gateway's only thread is busy with it. */
import {setTimeout as sleep} from 'node:timers/promises';
import {HOST, KEY, startDeployment} from '../lib/deployment.js';
import {formatEvent, startChunkedStream, writeWhole} from '../lib/engine.js';
import {send} from '../lib/client.js';
import {runCase} from '../lib/run-case.js';

const PLAY_MILLIS = 25_000;
const STREAMS_PER_SECOND = 6;
const READS_PER_SECOND = 4;
/** One answer in so many is spoiled: x = 0.02. */
const SPOILED_ONE_IN = 50;
const EVENTS = 24;
const EVENT_PAUSE_MILLIS = 60;
const WORK_MILLIS = 85;
const TIMEOUT_MILLIS = 1500;
const READ_DEADLINE_MILLIS = 3006;
const SLACK_MILLIS = 500;
const MIN_REQUESTS = 8;
const LINES_PER_WRITE = 1000;

async function streamWhole(req, socket) {
	const stream = startChunkedStream(req, socket);
	for (let id = Number(req.headers['last-event-id'] ?? 0) + 1; id <= EVENTS && !socket.destroyed; id++) {
		// eslint-disable-next-line no-await-in-loop -- Events follow each other.
		await sleep(EVENT_PAUSE_MILLIS);
		stream.write(formatEvent(id));
	}

	stream.end();
}

/** Sends lines that never complete an event until the caller closes. */
async function streamEndless(req, socket) {
	startChunkedStream(req, socket);
	const lines = '8\r\ndata: x\n\r\n'.repeat(LINES_PER_WRITE);
	const closed = new Promise(resolve => {
		socket.once('close', resolve);
	});
	while (!socket.destroyed) {
		if (!socket.write(lines)) {
			// eslint-disable-next-line no-await-in-loop -- Writes as fast as the caller reads.
			await Promise.race([closed, new Promise(resolve => {
				socket.once('drain', resolve);
			})]);
		}
	}
}

await runCase(import.meta.dirname, async ({record, isTroubled}) => {
	let streams = 0;
	let spoiled = 0;
	function runStream(req, socket) {
		streams++;
		if (isTroubled && streams % SPOILED_ONE_IN === SPOILED_ONE_IN / 2) {
			spoiled++;
			record(`spoiled answer ${spoiled}, to request ${req.headers['x-attempt-id']}`);
			streamEndless(req, socket);
		} else {
			streamWhole(req, socket);
		}
	}

	async function runRead(req, socket) {
		await sleep(WORK_MILLIS);
		writeWhole(req, socket, '{"balance":1}');
	}

	const deployment = await startDeployment({
		record,
		engines: [
			...Array.from({length: 12}, (_, i) => ({id: `i-llm-${i}`, service: 'llm', run: runStream})),
			...Array.from({length: 3}, (_, i) => ({
				id: `i-app-${i}`, service: 'app', slots: 6, run: runRead,
			})),
		],
	});
	const [gateway] = deployment.gateways;
	const untilMillis = performance.now() + PLAY_MILLIS;

	async function call(perSecond, options) {
		const sent = [];
		while (performance.now() < untilMillis) {
			sent.push(send({
				address: gateway.front, host: HOST, key: KEY, ...options,
			}));
			// eslint-disable-next-line no-await-in-loop -- Requests at a steady rate.
			await sleep(1000 / perSecond);
		}

		return Promise.all(sent);
	}

	async function probe() {
		const failed = [];
		while (performance.now() < untilMillis) {
			const atMillis = performance.now();
			// eslint-disable-next-line no-await-in-loop -- One probe after the other.
			if (!await deployment.isReady(gateway)) {
				failed.push(atMillis);
			}

			// eslint-disable-next-line no-await-in-loop -- As above.
			await sleep(Math.max(0, atMillis + 1000 - performance.now()));
		}

		return failed;
	}

	const [drafts, reads, failedProbes] = await Promise.all([
		call(STREAMS_PER_SECOND, {
			path: '/draft/1', deadlineMillis: 8017, gapMillis: 2000, headers: {'X-Model': 'm', 'X-Token-Count': '714,96'},
		}),
		call(READS_PER_SECOND, {
			method: 'GET', path: '/read/1', deadlineMillis: READ_DEADLINE_MILLIS, body: '',
		}),
		probe(),
	]);
	for (const {id, path, end, status, sentAtMillis, endedAtMillis} of [...drafts, ...reads]) {
		record(`request ${id} ${path}: ${end}, status ${status}, after ${Math.round(endedAtMillis - sentAtMillis)} ms`);
	}

	const longerThan = millis => reads.filter(({sentAtMillis, endedAtMillis}) => endedAtMillis - sentAtMillis >= millis).length;
	const late = longerThan(TIMEOUT_MILLIS);
	const later = longerThan(TIMEOUT_MILLIS + SLACK_MILLIS);
	record(`${spoiled} of ${streams} answers spoiled`);
	record(`reads: ${reads.length}, unanswered at TimeoutMs: ${late}, half a second later: ${later}`);
	record(`failed probes of readiness: ${failedProbes.length}; streams complete: ${drafts.filter(({end, status}) => end === 'complete' && status === 200).length} of ${drafts.length}`);
	await deployment.close();
	return late >= MIN_REQUESTS && later > late / 2 ? [`${later} of the ${late} requests that were unanswered at their route's TimeoutMs had no answer half a second later`] : [];
});
