/** Wiring of the entry role. */
import type {Configuration} from '../configuration/configuration.js';
import type {ProcessContext} from '../daemon/process-context.js';
import type {TlsMaterial} from '../access/link-access.js';
import {createInFlightAttempts} from '../attempts/in-flight-attempts.js';
import {succeed, type Result} from '../core/result.js';
import {createLinkedAgentsMemo, type LinkedAgentsMemo} from '../decisions/caller-routing/linked-agents-memo.js';
import {findCandidates} from '../dispatch/candidates.js';
import {createTrafficPolicies} from '../dispatch/create-traffic-policies.js';
import type {DispatchContext} from '../dispatch/dispatch-context.js';
import type {Instance} from '../ports/instance-list.js';
import {startGroupPlanners} from '../planner/planners.js';
import type {EntrySettings} from '../settings/settings.js';
import {listenHttp, type ListenerTls} from '../http/http-listener.js';
import type {ListenError} from '../core/listen-error.js';
import {createClassStatistics} from '../dispatch/class-statistics.js';
import {createAddressDirectory} from './address-directory.js';
import {createCallerApp} from './caller-app.js';
import {createDrain, type DrainReport} from './drain.js';
import {createEntryPeers} from './entry-peers.js';
import {startLinkSet} from './link-set.js';
import {createOperatorApp} from './operator-app.js';

/** A running entry. */
export type RunningEntry = Readonly<{
	/** Whether the entry is ready for callers: it has a configuration and a link to an agent, and is not draining. */
	isReady: () => boolean;
	/**
	 * Excludes this entry from address responses, serves until the last response with its address has expired, then
	 * refuses new requests and waits for those in flight.
	 */
	drain: () => Promise<DrainReport>;
	/** Ports that the listeners are bound to, even where the settings have port 0. */
	ports: Readonly<{caller: number; operator: number}>;
}>;

/** Secrets of an entry, which the daemon reads from files. */
export type EntrySecrets = Readonly<{operatorToken: string | undefined; tls?: TlsMaterial | undefined}>;

/** Starts the entry; all its tasks and listeners end with the life cycle. */
export async function startEntry(ctx: ProcessContext, settings: EntrySettings, secrets: EntrySecrets): Promise<Result<RunningEntry, ListenError>> {
	const {clock, lifeCycle} = ctx;
	const {random} = Math;
	const {instanceId, failureDomain} = settings;
	const {policies, observer} = createTrafficPolicies({clock, random, failureDomain});
	const chooseLinked = createLinkedAgentsMemo(instanceId);
	const links = startLinkSet({
		...ctx, instanceId, failureDomain, observer,
	}, ctx.instances, lifeCycle, {random, chooseSubset: instances => chooseAgents(chooseLinked, instances)});
	const statistics = createClassStatistics();
	const dispatch: DispatchContext = {
		...ctx, links, policies, statistics,
	};
	const inFlight = createInFlightAttempts(size => {
		ctx.metrics.inFlight.set(size);
	});
	const peers = createEntryPeers({
		clock,
		lifeCycle,
		instances: links.instances,
		authority: secrets.tls?.authority,
		ownState: () => ({
			instanceId, incarnation: ctx.incarnation, configVersion: ctx.configuration.version(), leaving: drain.isDraining(), inFlight: inFlight.size(),
		}),
	});
	const addressDirectory = createAddressDirectory({
		clock,
		random,
		self: describeSelf(settings),
		lifetimeMillis: settings.addressLifetimeMillis,
		instances: () => links.instances().filter(instance => !peers.isDraining(instance.id)),
		findAgents: service => findCandidates(dispatch, service, new Set()),
	});
	const drain = createDrain({
		clock, audit: ctx.audit, instanceId, addressDirectory, peers, inFlight, addressLifetimeMillis: settings.addressLifetimeMillis, drainTimeoutMillis: settings.drainMillis,
	});
	recordConfigurations(ctx);

	const callerApp = createCallerApp({
		dispatch, addressDirectory, peers, inFlight, maxBodyBytes: settings.maxBodyBytes, isRefusingRequests: drain.isRefusingRequests, isDraining: drain.isDraining,
	});
	const operatorApp = createOperatorApp({
		ctx, view: {links, peers, failureDomain}, statistics, operatorToken: secrets.operatorToken,
	});
	const callerPort = await listenHttp(callerApp.fetch, {
		name: 'caller listener', address: settings.callerListen, clock, lifeCycle, tls: settings.callerUrl.startsWith('https:') ? describeTls(secrets, false) : undefined,
	});
	if (!callerPort.ok) {
		return callerPort;
	}

	startGroupPlanners(ctx, {
		instanceId, weightLoadsPerSecond: settings.weightLoadsPerSecond, planIntervalMillis: settings.planIntervalMillis,
	});
	const operatorPort = await listenHttp(operatorApp.fetch, {
		name: 'operator listener', address: settings.operatorListen, clock, lifeCycle, tls: describeTls(secrets, true),
	});
	if (!operatorPort.ok) {
		return operatorPort;
	}

	return succeed({
		isReady: () => ctx.configuration.version() > 0 && links.links().length > 0 && !drain.isDraining(),
		drain: drain.run,
		ports: {caller: callerPort.value, operator: operatorPort.value},
	});
}

function chooseAgents(chooseLinked: LinkedAgentsMemo, instances: readonly Instance[]): readonly Instance[] {
	const agents = instances.filter(instance => instance.role === 'agent');
	const entries = instances.filter(instance => instance.role === 'entry');
	const linked = chooseLinked(entries, agents);
	return agents.filter(agent => linked.has(agent.id));
}

/** Writes an audit record of each configuration version that comes into force on this entry. */
function recordConfigurations({audit, configuration, lifeCycle}: ProcessContext): void {
	const record = ({version, changeId}: Configuration) => {
		audit.append({kind: 'config_in_force', version, changeId}, 'may_drop');
	};

	const current = configuration.read();
	if (current) {
		record(current);
	}

	lifeCycle.own('configuration record', configuration.registerListener(record));
}

function describeTls({tls}: EntrySecrets, asksForCertificate: boolean): ListenerTls | undefined {
	return tls && {material: tls, asksForCertificate};
}

function describeSelf(settings: EntrySettings): Instance {
	const {instanceId, region, failureDomain, callerUrl} = settings;
	return {
		id: instanceId, role: 'entry', region, failureDomain, state: 'live', callerUrl, linkAddress: '', service: '', group: '', rank: -1,
	};
}
