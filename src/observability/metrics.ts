import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';

/** Upper bounds of the latency buckets in seconds. */
const LATENCY_BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.54, 1, 2.5, 5, 10, 30];

/** Metrics of an entry or an agent, all documented in docs/metrics.md. */
export type Metrics = ReturnType<typeof createMetrics>;

/** Creates the metrics of a process in their own registry. */
export function createMetrics() {
	const registry = new Registry();
	const registers = [registry];
	return {
		registry,
		requests: new Counter({
			name: 'pollenport_requests_total', help: 'Requests by class of work and outcome', labelNames: ['work_class', 'outcome'], registers,
		}),
		refusals: new Counter({
			name: 'pollenport_refusals_total', help: 'Requests or attempts refused, by reason', labelNames: ['reason'], registers,
		}),
		unknowns: new Counter({
			name: 'pollenport_unknowns_total', help: 'Requests whose outcome is unknown, by reason', labelNames: ['reason'], registers,
		}),
		retries: new Counter({
			name: 'pollenport_retries_total', help: 'Repeated calls, by what was repeated and why', labelNames: ['operation', 'reason'], registers,
		}),
		droppedFrames: new Counter({
			name: 'pollenport_dropped_frames_total', help: 'Frames dropped, by reason', labelNames: ['reason'], registers,
		}),
		rejectedConnections: new Counter({
			name: 'pollenport_rejected_connections_total', help: 'Connections refused or closed as faulty, by reason', labelNames: ['reason'], registers,
		}),
		links: new Gauge({
			name: 'pollenport_links', help: 'Open links to peers', registers,
		}),
		inFlight: new Gauge({
			name: 'pollenport_in_flight', help: 'Requests in flight', registers,
		}),
		configVersion: new Gauge({
			name: 'pollenport_config_version', help: 'Configuration version in force', registers,
		}),
		platformErrors: new Counter({
			name: 'pollenport_platform_errors_total', help: 'Failed calls to the platform', labelNames: ['store', 'error'], registers,
		}),
		auditPending: new Gauge({
			name: 'pollenport_audit_pending_records', help: 'Audit records not yet in the object store', registers,
		}),
		auditDropped: new Counter({
			name: 'pollenport_audit_dropped_records_total', help: 'Audit records dropped for lack of room', registers,
		}),
		votes: new Counter({
			name: 'pollenport_votes_total', help: 'Votes on an expert map', labelNames: ['vote'], registers,
		}),
		mapOutcomes: new Counter({
			name: 'pollenport_map_outcomes_total', help: 'Proposed expert maps by outcome', labelNames: ['outcome'], registers,
		}),
		movedExperts: new Counter({
			name: 'pollenport_moved_experts_total', help: 'Expert copies loaded into a slot that did not hold them', labelNames: ['group'], registers,
		}),
		stepSkew: new Gauge({
			name: 'pollenport_step_skew', help: 'Largest rank time over the mean, by group', labelNames: ['group'], registers,
		}),
		firstByteSeconds: new Histogram({
			name: 'pollenport_first_byte_seconds', help: 'Time to the first token or byte, by class of work', labelNames: ['work_class'], buckets: LATENCY_BUCKETS_SECONDS, registers,
		}),
	};
}
