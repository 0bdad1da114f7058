/** Open connections to the store fall silent for good, and a key is taken away: gateways that are in touch again still take it. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	BOUNDS, createConfiguration, HOST, KEY, startDeployment,
} from '../lib/deployment.js';
import {writeWhole} from '../lib/engine.js';
import {send} from '../lib/client.js';
import {runCase} from '../lib/run-case.js';

/** How often it is tried: whether it is seen depends on when the gateways last called the store. */
const ROUNDS = 6;
const WORK_MILLIS = 20;
const SETTLE_MILLIS = 5000;
/** Time between each of the two changes of the configuration and the silence between them. */
const CHANGE_GAP_MILLIS = 200;
const ASK_MILLIS = 200;
const ROUND_MILLIS = 8000;
/** Margin for the delays of this machine. */
const MARGIN_MILLIS = 100;

await runCase(import.meta.dirname, async ({record, isTroubled}) => {
	const runs = new Set();
	async function run(req, socket) {
		runs.add(req.headers['x-attempt-id']);
		await sleep(WORK_MILLIS);
		writeWhole(req, socket, '{"posted":1}');
	}

	const deployment = await startDeployment({
		record,
		engines: [
			...Array.from({length: 12}, (_, i) => ({id: `i-llm-${i}`, service: 'llm', run})),
			...Array.from({length: 3}, (_, i) => ({
				id: `i-app-${i}`, service: 'app', slots: 6, run,
			})),
		],
	});

	async function playRound(round) {
		const revoked = `key-${round}`;
		deployment.store.put('op', 'config', createConfiguration(2 * round, {keys: [KEY, revoked]}));
		record(`version ${2 * round}, with ${revoked}, is acknowledged`);
		await sleep(CHANGE_GAP_MILLIS);
		const silentAtMillis = performance.now();
		if (isTroubled) {
			for (const {proxy} of deployment.gateways) {
				proxy.silence();
			}

			record('the open connections to the store are silent from now on');
		}

		await sleep(CHANGE_GAP_MILLIS);
		deployment.store.put('op', 'config', createConfiguration((2 * round) + 1, {keys: [KEY]}));
		const ackedAtMillis = performance.now();
		record(`version ${(2 * round) + 1}, without ${revoked}, is acknowledged`);
		const inForceAtMillis = Math.max(ackedAtMillis + BOUNDS.ConfigApplyMs, silentAtMillis + BOUNDS.StableWindowMs) + MARGIN_MILLIS;
		const answers = [];
		while (performance.now() < ackedAtMillis + ROUND_MILLIS) {
			answers.push(...deployment.gateways.map(async gateway => ({
				gateway: gateway.name,
				...await send({
					address: gateway.front, path: '/post/1', host: HOST, key: revoked, deadlineMillis: 3009,
				}),
			})));
			// eslint-disable-next-line no-await-in-loop -- Requests at a steady rate.
			await sleep(ASK_MILLIS);
		}

		const breaches = [];
		for (const {gateway, id, end, status, sentAtMillis} of await Promise.all(answers)) {
			const afterMillis = Math.round(sentAtMillis - ackedAtMillis);
			record(`post ${id} with ${revoked} at ${gateway}, sent ${afterMillis} ms after the acknowledgement: ${end}, status ${status}${runs.has(id) ? ', run' : ''}`);
			if (runs.has(id) && sentAtMillis > inForceAtMillis) {
				breaches.push(`${gateway} had post ${id} run, sent ${afterMillis} ms after ${revoked} was taken away`);
			}
		}

		record(`round ${round}: ${breaches.length} posts run that should not be`);
		return breaches;
	}

	const breaches = [];
	for (let round = 1; round <= ROUNDS; round++) {
		// eslint-disable-next-line no-await-in-loop -- One round after the other.
		await sleep(SETTLE_MILLIS);
		// eslint-disable-next-line no-await-in-loop -- As above.
		breaches.push(...await playRound(round));
	}

	await deployment.close();
	return breaches;
});
