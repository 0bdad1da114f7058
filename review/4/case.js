/** A gateway that is told to stop takes calls late in its grace period, and cuts them off before it has to end. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	BOUNDS, HOST, KEY, startDeployment,
} from '../lib/deployment.js';
import {writeWhole} from '../lib/engine.js';
import {send} from '../lib/client.js';
import {runCase} from '../lib/run-case.js';

/** When requests are sent, after the SIGTERM; callers keep an address for up to three times its lifetime of 2 s. */
const SENT_AFTER_MILLIS = [1000, 2000, 4000, 5200, 5500, 5700];
/** Set by the operator for the route. */
const TIMEOUT_MILLIS = 3000;
/** Work that each of them needs. */
const WORK_MILLIS = 2400;
const DEADLINE_MILLIS = 3009;
/** A request sent up to here may be cut off if its engine was at work in the last sixth of the grace period. */
const EXCUSED_MILLIS = 3000;

await runCase(import.meta.dirname, async ({record, isTroubled}) => {
	const runs = new Map();
	async function run(req, socket) {
		runs.set(req.headers['x-attempt-id'], 'begun');
		await sleep(WORK_MILLIS);
		runs.set(req.headers['x-attempt-id'], socket.destroyed ? 'cut off' : 'answered');
		writeWhole(req, socket, '{"posted":1}');
	}

	const deployment = await startDeployment({
		record,
		routes: {post: {TimeoutMs: TIMEOUT_MILLIS}},
		engines: Array.from({length: 3}, (_, i) => ({
			id: `i-app-${i}`, service: 'app', slots: 6, run,
		})),
	});
	const [gateway, other] = deployment.gateways;
	const addresses = await deployment.resolve(other);
	const resolvedAtMillis = performance.now();
	record(`a caller was told ${addresses.join(' ')}`);
	const startedAtMillis = performance.now();
	if (isTroubled) {
		record(`SIGTERM to ${gateway.name}`);
		gateway.child.kill('SIGTERM');
		setTimeout(() => {
			gateway.child.kill('SIGKILL');
		}, BOUNDS.GraceS * 1000);
		gateway.child.once('exit', (code, signal) => {
			record(`${gateway.name} ended ${Math.round(performance.now() - startedAtMillis)} ms after the SIGTERM: code ${code}, signal ${signal}`);
		});
	}

	const answers = await Promise.all(SENT_AFTER_MILLIS.map(async afterMillis => {
		await sleep(startedAtMillis + afterMillis - performance.now());
		record(`a post is sent to ${gateway.name}, ${Math.round(performance.now() - resolvedAtMillis)} ms after its address was told`);
		return send({
			address: addresses.find(address => address === gateway.front), path: '/post/1', host: HOST, key: KEY, deadlineMillis: DEADLINE_MILLIS,
		});
	}));
	await sleep(500);
	const breaches = [];
	for (const {id, end, status, sentAtMillis, endedAtMillis} of answers) {
		const sentMillis = Math.round(sentAtMillis - startedAtMillis);
		const endedMillis = Math.round(endedAtMillis - startedAtMillis);
		record(`post ${id} sent at ${sentMillis} ms: ${end}, status ${status}, at ${endedMillis} ms; at the engine: ${runs.get(id)}`);
		if (end === 'closed' && runs.has(id) && sentMillis > EXCUSED_MILLIS) {
			breaches.push(`post ${id}, sent ${sentMillis} ms after the SIGTERM, ran; its connection was closed without an answer after ${endedMillis - sentMillis} of ${DEADLINE_MILLIS} ms`);
		}
	}

	await deployment.close();
	return breaches;
});
