import {z} from 'zod';

/** Schema of a change of the fault switches; what is left out stays as it is. */
export const faultChangeSchema = z.strictObject({
	/** Time added before each answer, in milliseconds. */
	delayMillis: z.number().nonnegative().optional(),
	/** Requests are answered with 503 and have no effect. */
	outage: z.boolean().optional(),
	/** Share of the writes that take effect and whose reply is lost, from 0 to 1. */
	replyLostShare: z.number().min(0).max(1).optional(),
	/** Number of coming writes that take effect and whose reply is lost. */
	replyLostNext: z.number().int().nonnegative().optional(),
	/** Requests are accepted, have no effect and get no answer. */
	silent: z.boolean().optional(),
	/** Nothing goes on until this is false again; then what waited goes on. */
	freeze: z.boolean().optional(),
	/** Connections that are open now get no further answer; new ones work. Not kept as a switch. */
	silenceOpenConnections: z.literal(true).optional(),
});

/** A change of the fault switches. */
export type FaultChange = Readonly<z.infer<typeof faultChangeSchema>>;

/** Faults of a stand-in as they are set. */
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
