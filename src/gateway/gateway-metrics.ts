import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';

/** Upper bounds of the latency buckets in seconds. */
const LATENCY_BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

/** Metrics of a gateway. Each is listed in docs/metrics.md. */
export type GatewayMetrics = ReturnType<typeof createGatewayMetrics>;

/** Creates the metrics in a registry of their own. */
export function createGatewayMetrics() {
	const registry = new Registry();
	const registers = [registry];
	const members = new Gauge({
		name: 'pollenport_members', help: 'Entries by the state that this one believes them to be in', labelNames: ['state'], registers,
	});
	const evacuatedDomains = new Gauge({
		name: 'pollenport_evacuated_failure_domains', help: 'Failure domains whose backend servers get no requests', registers,
	});
	const evacuatedInFlight = new Gauge({
		name: 'pollenport_evacuated_calls_in_flight', help: 'Calls still in flight at backend servers of evacuated failure domains', labelNames: ['failure_domain'], registers,
	});
	return {
		registry,
		/** Shows the evacuated failure domains and what still runs there. */
		setEvacuations(evacuations: ReadonlyArray<Readonly<{failureDomain: string; inFlight: number}>>) {
			evacuatedDomains.set(evacuations.length);
			evacuatedInFlight.reset();
			for (const {failureDomain, inFlight} of evacuations) {
				evacuatedInFlight.set({failure_domain: failureDomain}, inFlight);
			}
		},
		/** Counts the entries by state. */
		setMembers(beliefs: ReadonlyArray<Readonly<{state: string}>>) {
			members.reset();
			for (const {state} of beliefs) {
				members.inc({state});
			}
		},
		calls: new Counter({
			name: 'pollenport_calls_total', help: 'Calls by route kind and outcome', labelNames: ['kind', 'outcome'], registers,
		}),
		refusals: new Counter({
			name: 'pollenport_call_refusals_total', help: 'Answers of this process\'s own, by reason', labelNames: ['reason'], registers,
		}),
		attempts: new Counter({
			name: 'pollenport_attempts_total', help: 'Attempts at backend servers by how they ended', labelNames: ['end'], registers,
		}),
		crashes: new Counter({
			name: 'pollenport_backend_server_crashes_total', help: 'Backend servers that crashed while they had not answered a request of this process', registers,
		}),
		quarantinedParts: new Gauge({
			name: 'pollenport_quarantined_prompt_parts', help: 'Parts of prompts, or combinations of them, that are held to crash backend servers', registers,
		}),
		quarantinedRequests: new Gauge({
			name: 'pollenport_quarantined_requests', help: 'Requests that are held to crash backend servers by themselves', registers,
		}),
		limitedServers: new Gauge({
			name: 'pollenport_limited_backend_servers', help: 'Backend servers that state a limit on the rate of their requests', registers,
		}),
		coldServers: new Gauge({
			name: 'pollenport_cold_backend_servers', help: 'Backend servers that take few requests because they have just started', registers,
		}),
		retries: new Counter({
			name: 'pollenport_repeats_total', help: 'Attempts beyond the first of a call, by reason', labelNames: ['reason'], registers,
		}),
		firstByteSeconds: new Histogram({
			name: 'pollenport_call_first_byte_seconds', help: 'Time from arrival to the first byte of the answer', labelNames: ['kind'], buckets: LATENCY_BUCKETS_SECONDS, registers,
		}),
		firstEventSeconds: new Histogram({
			name: 'pollenport_first_event_seconds',
			help: 'Time from arrival to the first event by size of the prompt, where prompt sizes are known',
			labelNames: ['service', 'prompt'],
			buckets: LATENCY_BUCKETS_SECONDS,
			registers,
		}),
		unreadPromptTokens: new Gauge({
			name: 'pollenport_unread_prompt_tokens', help: 'Prompt tokens of calls in flight without a first event, by service', labelNames: ['service'], registers,
		}),
		inFlight: new Gauge({
			name: 'pollenport_calls_in_flight', help: 'Calls in flight at backend servers, by service', labelNames: ['service'], registers,
		}),
		limit: new Gauge({
			name: 'pollenport_calls_limit', help: 'Calls that may be in flight at backend servers, by service', labelNames: ['service'], registers,
		}),
		reservedPermits: new Gauge({
			name: 'pollenport_permits_reserved', help: 'Permits that the least urgent requests must leave to more urgent ones, by service', labelNames: ['service'], registers,
		}),
		lentPermits: new Gauge({
			name: 'pollenport_permits_lent', help: 'Permits lent to other entries, by service', labelNames: ['service'], registers,
		}),
		borrowedPermits: new Gauge({
			name: 'pollenport_permits_borrowed', help: 'Permits borrowed from other entries and in use, by service', labelNames: ['service'], registers,
		}),
		permitRefusals: new Counter({
			name: 'pollenport_permit_refusals_total', help: 'Calls refused for lack of a permit, by service and priority, where priorities compete', labelNames: ['service', 'priority'], registers,
		}),
		bufferedBytes: new Gauge({
			name: 'pollenport_buffered_bytes', help: 'Bytes of request bodies, and of answers that callers have not read yet', labelNames: ['part'], registers,
		}),
		abortedReaders: new Counter({
			name: 'pollenport_aborted_readers_total', help: 'Connections closed because their callers read too slowly', labelNames: ['reason'], registers,
		}),
		undeliveredAnswers: new Counter({
			name: 'pollenport_undelivered_answers_total', help: 'Answers whose connection was closed before all of their bytes had been sent', labelNames: ['cause'], registers,
		}),
		callerShare: new Gauge({
			name: 'pollenport_caller_share', help: 'Share of the callers that this entry expects, and by which it divides the permits', registers,
		}),
		unreadableRows: new Counter({
			name: 'pollenport_unreadable_rows_total', help: 'Rows of the platform that could not be used, by table', labelNames: ['table'], registers,
		}),
		configVersion: new Gauge({
			name: 'pollenport_routing_version', help: 'Version of the routing configuration in force', registers,
		}),
	};
}
