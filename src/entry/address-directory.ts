/** Assigns entry addresses to callers, and tracks until when a caller may hold this entry's address, which a drain waits for. */
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

/** Response body of `GET /v1/addresses`. */
export type AddressResponse = Readonly<{
	addresses: ReadonlyArray<Readonly<{url: string; failureDomain: string}>>;
	/** Time for which the caller may cache the response. */
	lifetimeMillis: number;
	configVersion: number;
	/** One for each service with non-idempotent work. */
	bindings: ReadonlyArray<Readonly<{service: string; binding: string}>>;
}>;

/** Assigns addresses, and remembers when it last assigned its own. */
export type AddressDirectory = Readonly<{
	recordRequest: (account: AccountName) => void;
	assignAddresses: (account: AccountName, cfg: Configuration) => AddressResponse;
	/** Monotonic time in milliseconds from which no caller holds an unexpired response with this instance's address. */
	ownAddressExpiresAtMillis: () => number;
	/** Excludes this instance from all further responses. */
	excludeSelf: () => void;
}>;

/** Dependencies of an address directory. */
export type AddressDirectoryDeps = Readonly<{
	clock: Clock;
	random: RandomSource;
	/** This entry as responses list it. */
	self: Instance;
	lifetimeMillis: number;
	instances: () => readonly Instance[];
	/** Agents of the service that accept new work. */
	findAgents: (service: string) => readonly AgentLink[];
}>;

/** Creates an address directory that has not assigned any address. */
export function createAddressDirectory(deps: AddressDirectoryDeps): AddressDirectory {
	const sizes = createAccountSizes(deps.clock);
	let isSelfExcluded = false;
	let lastAssignedMillis = -Infinity;

	/** Live entries; includes this one even before the instance list shows it. */
	function findLiveEntries(cfg: Configuration): readonly Instance[] {
		const others = deps.instances().filter(instance => instance.role === 'entry' && instance.id !== deps.self.id);
		const all = isSelfExcluded || isListedAsDraining(deps.self.id) ? others : [...others, deps.self];
		return all
			.filter(entry => entry.state === 'live')
			.filter(entry => !isStopPlanned(cfg.plannedStops, entry.id, entry.failureDomain));
	}

	function isListedAsDraining(id: InstanceId): boolean {
		return deps.instances().some(instance => instance.id === id && instance.state === 'leaving');
	}

	function createBinding(account: AccountName, service: string): string | undefined {
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
			const binding = createBinding(account, service);
			return binding === undefined ? [] : [{service, binding}];
		});
	}

	return {
		recordRequest: sizes.noteRequest,
		assignAddresses(account, cfg) {
			const entries = findLiveEntries(cfg);
			const {addresses, lifetimeMillis} = chooseAddresses(account, entries, {
				count: sizes.chooseAddressCount(account, entries.length),
				lifetimeMillis: deps.lifetimeMillis,
				random: deps.random,
			});
			if (addresses.some(address => address.instanceId === deps.self.id)) {
				lastAssignedMillis = deps.clock.monotonicMillis();
			}

			return {
				addresses: addresses.map(({callerUrl, failureDomain}) => ({url: callerUrl, failureDomain})),
				lifetimeMillis,
				configVersion: cfg.version,
				bindings: findBindings(account, cfg),
			};
		},
		ownAddressExpiresAtMillis: () => lastAssignedMillis + deps.lifetimeMillis,
		excludeSelf() {
			isSelfExcluded = true;
		},
	};
}
