import {createManualClock} from '../../src/core/manual-clock.js';
import {createAdmission} from '../../src/decisions/admission/create-admission.js';
import {createAccountSizes} from '../../src/decisions/caller-routing/account-size.js';
import {chooseAddresses} from '../../src/decisions/caller-routing/choose-addresses.js';
import {createLinkedAgentsMemo} from '../../src/decisions/caller-routing/linked-agents-memo.js';
import {chooseLinkedAgents, type LinkableAgent} from '../../src/decisions/caller-routing/subset.js';
import {createSeededRandom} from '../../src/decisions/random.js';
import {chooseBackendServer} from '../../src/decisions/routing/choose-backend-server.js';
import {createLoadView, type LoadView} from '../../src/decisions/routing/load-view.js';
import {workClasses} from './admission-scenario.js';
import {createEntries} from './caller-routing-model.js';
import {measureBytesEach, measureMicros, measureMillis} from './resource-usage.js';

/** One measured figure; `per` names the quantity that was varied and `size` is its value. */
export type CapacityFigure = Readonly<{name: string; per: string; size: number; value: number; unit: string}>;

const DOMAIN_COUNT = 7;
const MODEL_COUNT = 8;
const CALL_COUNT = 2000;
/** Size of the cached-prefix estimate of each backend server. */
const PREFIXES_PER_BACKEND_SERVER = 1024;

function createView(agents: number, prefixes: number): LoadView {
	const view = createLoadView(createManualClock());
	const cacheEvents = Array.from({length: prefixes}, (_, i) => ({tag: 'cached' as const, digest: `${'0'.repeat(56)}${i.toString().padStart(8, '0')}`}));
	for (let i = 0; i < agents; i++) {
		view.addBackendServer(`agent-${i}`, `domain-${i % DOMAIN_COUNT}`);
		view.noteReport(`agent-${i}`, {
			running: 10, queued: 0, ageMillis: 1000, cacheEvents,
		});
	}

	return view;
}

function measureRouting(agents: number): readonly CapacityFigure[] {
	const view = createView(agents, PREFIXES_PER_BACKEND_SERVER);
	const random = createSeededRandom(1);
	const ids = Array.from({length: agents}, (_, i) => `agent-${i}`);
	const req = {
		prefixes: [{digest: 'prefix', tokens: 400}], promptTokens: 500, failureDomain: 'domain-0', priority: 0, remainingMillis: 1000, nowMillis: 0,
	};
	const micros = measureMicros(CALL_COUNT, () => {
		const chosen = chooseBackendServer(view.listCandidates(ids), req, random);
		view.startAttempt(chosen?.agentId ?? '', {nominalMillis: 50, prefillMillis: 50, prefixDigests: ['prefix']}).end();
	});
	const withoutPrefixesMicros = measureMicros(CALL_COUNT, () => {
		const chosen = chooseBackendServer(view.listCandidates(ids), {...req, prefixes: [], promptTokens: 0}, random);
		view.startAttempt(chosen?.agentId ?? '', {nominalMillis: 50, prefillMillis: 50, prefixDigests: []}).end();
	});
	const bytes = measureBytesEach(agents, () => createView(agents, PREFIXES_PER_BACKEND_SERVER));
	return [
		{
			name: 'routing decision without prefixes', per: 'candidates', size: agents, value: withoutPrefixesMicros, unit: 'microseconds',
		},
		{
			name: 'routing decision', per: 'candidates', size: agents, value: micros, unit: 'microseconds',
		},
		{
			name: 'load view with full prefix beliefs', per: 'linked agents', size: agents, value: bytes, unit: 'bytes each',
		},
	];
}

function measureAdmission(accounts: number): CapacityFigure {
	const clock = createManualClock();
	const admission = createAdmission({clock, random: createSeededRandom(1)});
	const workClass = workClasses[0]?.workClass;
	const value = measureMicros(CALL_COUNT * 2, i => {
		if (workClass) {
			clock.advance(40);
			admission.enqueue({account: `account-${i % accounts}`, workClass, remainingMillis: 1000}, decision => {
				if (decision.tag === 'admitted') {
					decision.noteFirstByte();
					decision.release();
				}
			});
		}
	});
	return {
		name: 'admission and release', per: 'accounts', size: accounts, value, unit: 'microseconds',
	};
}

function measureAccountSizes(accounts: number): CapacityFigure {
	const value = measureBytesEach(accounts, () => {
		const sizes = createAccountSizes(createManualClock());
		for (let i = 0; i < accounts; i++) {
			sizes.noteRequest(`account-${i}`);
			sizes.chooseAddressCount(`account-${i}`, 350);
		}

		return sizes;
	});
	return {
		name: 'account sizes', per: 'accounts', size: accounts, value, unit: 'bytes each',
	};
}

function measureAddressChoice(entries: number): CapacityFigure {
	const instances = createEntries({
		name: '', entries, domains: DOMAIN_COUNT, accounts: 0, largeAccounts: 0, largeShare: 0,
	});
	const random = createSeededRandom(1);
	const value = measureMicros(100, i => {
		chooseAddresses(`account-${i}`, instances, {count: 4, lifetimeMillis: 5000, random});
	});
	return {
		name: 'address answer', per: 'entries', size: entries, value, unit: 'microseconds',
	};
}

function measureLinkedAgentsChoice(entryCount: number, agentCount: number): readonly CapacityFigure[] {
	const entries = Array.from({length: entryCount}, (_, i) => ({id: `entry-${i}`, failureDomain: `domain-${i % DOMAIN_COUNT}`}));
	const agents: readonly LinkableAgent[] = Array.from({length: agentCount}, (_, i) => ({id: `agent-${i}`, failureDomain: `domain-${i % DOMAIN_COUNT}`, service: `model-${i % MODEL_COUNT}`}));
	let linkCount = 0;
	const millis = measureMillis(() => {
		linkCount = chooseLinkedAgents('entry-0', entries, agents).size;
	});
	const chooseMemoized = createLinkedAgentsMemo('entry-0');
	chooseMemoized(entries, agents);
	const memoizedMillis = measureMillis(() => {
		chooseMemoized(entries, agents);
	});
	return [
		{
			name: 'choice of linked agents, lists unchanged', per: 'agents', size: agentCount, value: memoizedMillis, unit: 'milliseconds',
		},
		{
			name: 'choice of linked agents', per: 'agents', size: agentCount, value: millis, unit: 'milliseconds',
		},
		{
			name: 'links of an entry', per: 'agents', size: agentCount, value: linkCount, unit: 'links',
		},
	];
}

/** Measures routing, admission and address decisions at several sizes. */
export function measureDecisions(): readonly CapacityFigure[] {
	return [
		...[4, 16, 64].flatMap(agents => measureRouting(agents)),
		...[10, 300, 6000].map(accounts => measureAdmission(accounts)),
		...[300, 6000].map(accounts => measureAccountSizes(accounts)),
		...[6, 50, 350].map(entries => measureAddressChoice(entries)),
		...[[6, 15], [50, 100], [350, 740]].flatMap(([entries = 0, agents = 0]) => measureLinkedAgentsChoice(entries, agents)),
	];
}
