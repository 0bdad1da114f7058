/** Answers to callers that ask which addresses to use, and the memory of them that a drain needs. */
import {encodeBinding} from '../claims/binding.js';
import type {Configuration} from '../configuration/configuration.js';
import type {Clock} from '../core/clock.js';
import type {AccountName, InstanceId} from '../core/ids.js';
import {createAccountSizes} from '../decisions/caller-routing/account-size.js';
import {chooseAddresses} from '../decisions/caller-routing/choose-addresses.js';
import {scoreNode} from '../decisions/caller-routing/rendezvous.js';
import type {RandomSource} from '../decisions/random.js';
import {isStopPlanned} from '../dispatch/candidates.js';
import type {Instance} from '../ports/instance-list.js';
import type {AgentLink} from '../ports/agent-link.js';

/** The answer to `GET /v1/addresses`. */
export type AddressResponse = Readonly<{
	addresses: ReadonlyArray<Readonly<{url: string; failureDomain: string}>>;
	/** Time that the caller may keep the answer. */
	lifetimeMillis: number;
	configVersion: number;
	/** One for each service with work that must not be repeated. */
	bindings: ReadonlyArray<Readonly<{service: string; binding: string}>>;
}>;

/** Makes and remembers address answers. */
export type AddressDirectory = Readonly<{
	recordRequest: (account: AccountName) => void;
	assignAddresses: (account: AccountName, cfg: Configuration) => AddressResponse;
	/** Monotonic time in milliseconds at which no caller may hold an answer that names this instance any more. */
	ownAddressExpiresAtMillis: () => number;
	/** Leaves this instance out of all further answers. */
	excludeSelf: () => void;
}>;

/** What an address book needs. */
export type AddressDirectoryDeps = Readonly<{
	clock: Clock;
	random: RandomSource;
	/** This entry as other answers name it. */
	self: Instance;
	lifetimeMillis: number;
	instances: () => readonly Instance[];
	/** Agents of the service that take new work. */
	findAgents: (service: string) => readonly AgentLink[];
}>;

/** Creates a book without answers. */
export function createAddressDirectory(deps: AddressDirectoryDeps): AddressDirectory {
	const sizes = createAccountSizes(deps.clock);
	let isLeaving = false;
	let lastNamedMillis = -Infinity;

	/** Live entries; this one is among them even before the list names it. */
	function findEntries(cfg: Configuration): readonly Instance[] {
		const others = deps.instances().filter(instance => instance.role === 'entry' && instance.id !== deps.self.id);
		const all = isLeaving || isListedLeaving(deps.self.id) ? others : [...others, deps.self];
		return all
			.filter(entry => entry.state === 'live')
			.filter(entry => !isStopPlanned(cfg.plannedStops, entry.id, entry.failureDomain));
	}

	function isListedLeaving(id: InstanceId): boolean {
		return deps.instances().some(instance => instance.id === id && instance.state === 'leaving');
	}

	function bind(account: AccountName, service: string): string | undefined {
		const ranked = deps.findAgents(service)
			.toSorted((left, right) => scoreNode(account, right.hello.instanceId) - scoreNode(account, left.hello.instanceId));
		const [link] = ranked;
		return link && encodeBinding({
			service, agentId: link.hello.instanceId, incarnation: link.hello.incarnation, linkAddress: link.address,
		});
	}

	function findBindings(account: AccountName, cfg: Configuration): AddressResponse['bindings'] {
		const services = new Set(cfg.targets.classes.filter(item => !item.idempotent).map(item => item.service));
		return [...services].flatMap(service => {
			const binding = bind(account, service);
			return binding === undefined ? [] : [{service, binding}];
		});
	}

	return {
		recordRequest: sizes.noteRequest,
		assignAddresses(account, cfg) {
			const entries = findEntries(cfg);
			const {addresses, lifetimeMillis} = chooseAddresses(account, entries, {
				count: sizes.chooseAddressCount(account, entries.length),
				lifetimeMillis: deps.lifetimeMillis,
				random: deps.random,
			});
			if (addresses.some(address => address.instanceId === deps.self.id)) {
				lastNamedMillis = deps.clock.monotonicMillis();
			}

			return {
				addresses: addresses.map(({callerUrl, failureDomain}) => ({url: callerUrl, failureDomain})),
				lifetimeMillis,
				configVersion: cfg.version,
				bindings: findBindings(account, cfg),
			};
		},
		ownAddressExpiresAtMillis: () => lastNamedMillis + deps.lifetimeMillis,
		excludeSelf() {
			isLeaving = true;
		},
	};
}
