import {z} from 'zod';

/** Schema of a change of the fault switches; omitted fields keep their value. */
export const faultChangeSchema = z.strictObject({
	/** Delay before each request is processed, in milliseconds. */
	delayMillis: z.number().nonnegative().optional(),
	/** Requests are answered with 503 and have no effect. */
	outage: z.boolean().optional(),
	/** Share of the writes that take effect but whose reply is lost, from 0 to 1. */
	replyLostShare: z.number().min(0).max(1).optional(),
	/** Number of upcoming writes that take effect but whose reply is lost. */
	replyLostNext: z.number().int().nonnegative().optional(),
	/** Requests are accepted, have no effect and get no response. */
	silent: z.boolean().optional(),
	/** Requests and the steps of an engine wait until this is false again and then proceed. */
	freeze: z.boolean().optional(),
	/** Connections that are open now get no further response; new ones work. A one-time action, not stored as a switch. */
	silenceOpenConnections: z.literal(true).optional(),
});

/** A change of the fault switches. */
export type FaultChange = Readonly<z.infer<typeof faultChangeSchema>>;

/** Current faults of a stand-in. */
export type FaultSwitches = Readonly<Required<Omit<FaultChange, 'silenceOpenConnections'>>>;

/** No fault. */
export const NO_FAULTS: FaultSwitches = {
	delayMillis: 0,
	outage: false,
	replyLostShare: 0,
	replyLostNext: 0,
	silent: false,
	freeze: false,
};
