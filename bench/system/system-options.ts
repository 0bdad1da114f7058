/** Size and timing of a local system. */
export type SystemOptions = Readonly<{
	entries: number;
	/** Ranks of the rank group, of which there is one; each rank has an engine and an agent. */
	ranks: number;
	/** Processes of the plain service; each has an agent. */
	plainServices: number;
	failureDomains: readonly string[];
	region: string;
	/** Service of the rank group. */
	modelService: string;
	group: string;
	plainService: string;
	/** Duration of an evenly loaded step, in milliseconds. */
	stepMillis: number;
	layers: number;
	experts: number;
	slotsPerRank: number;
	/** Steps between two changes of the popularity of the experts. */
	driftSteps: number;
	/** Expert copies per second that the weight store serves. */
	weightLoadsPerSecond: number;
	/** Execution time of one call of the plain service, in milliseconds. */
	plainWorkMillis: number;
	/** Lag of the instance list, in milliseconds. */
	instanceListLagMillis: number;
	checksFencing: boolean;
	planIntervalMillis: number;
	addressLifetimeMillis: number;
	auditIntervalMillis: number;
	seed: number;
	/** Whether links to each agent pass through a TCP relay that can cut or silence them. */
	withRelays: boolean;
}>;

/** Two entries, one group of four ranks and one plain service, matching the targets in `examples/workshops.toml`. */
export const DEFAULT_SYSTEM: SystemOptions = {
	entries: 2,
	ranks: 4,
	plainServices: 1,
	failureDomains: ['domain-a', 'domain-b', 'domain-c'],
	region: 'chile-centro',
	modelService: 'diagnosis',
	group: 'diagnosis-a',
	plainService: 'bookings',
	stepMillis: 10,
	layers: 2,
	experts: 16,
	slotsPerRank: 5,
	driftSteps: 500,
	weightLoadsPerSecond: 40,
	plainWorkMillis: 20,
	instanceListLagMillis: 500,
	checksFencing: true,
	planIntervalMillis: 1000,
	addressLifetimeMillis: 1500,
	auditIntervalMillis: 500,
	seed: 1,
	withRelays: false,
};
