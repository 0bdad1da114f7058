/** Size and pace of a local system. */
export type SystemOptions = Readonly<{
	entries: number;
	/** Ranks of the one rank group; each has an engine and an agent. */
	ranks: number;
	/** Plain services; each has an agent. */
	plains: number;
	failureDomains: readonly string[];
	region: string;
	/** Service of the rank group. */
	modelService: string;
	group: string;
	plainService: string;
	/** Time of an evenly loaded step, in milliseconds. */
	stepMillis: number;
	layers: number;
	experts: number;
	slotsPerRank: number;
	/** Steps until the popularity of the experts changes. */
	driftSteps: number;
	/** Expert copies that the weight store serves a second. */
	weightLoadsPerSecond: number;
	/** Time that one call of the plain service works, in milliseconds. */
	plainWorkMillis: number;
	/** Lag of the instance list, in milliseconds. */
	listLagMillis: number;
	checksFencing: boolean;
	planIntervalMillis: number;
	addressLifetimeMillis: number;
	auditIntervalMillis: number;
	seed: number;
	/** Puts a relay before each agent, which can cut or silence its links. */
	withRelays: boolean;
}>;

/** Two entries, one group of four ranks, one plain service, after the targets in `examples/workshops.toml`. */
export const DEFAULT_SYSTEM: SystemOptions = {
	entries: 2,
	ranks: 4,
	plains: 1,
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
	listLagMillis: 500,
	checksFencing: true,
	planIntervalMillis: 1000,
	addressLifetimeMillis: 1500,
	auditIntervalMillis: 500,
	seed: 1,
	withRelays: false,
};
