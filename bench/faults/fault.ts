import type {LocalSystem} from '../system/local-system.js';

/** A fault that has been injected; `heal` ends it. */
export type ActiveFault = Readonly<{
	heal: () => Promise<void>;
}>;

/** Context in which a fault is injected. */
export type FaultContext = Readonly<{
	system: LocalSystem;
	/** Uniform in [0, 1). */
	random: () => number;
	/** Records a breach that only the fault itself can observe, as `promise: detail`. */
	reportBreach: (breach: string) => void;
}>;

export type FaultKind = Readonly<{
	name: string;
	inject: (ctx: FaultContext) => Promise<ActiveFault>;
}>;
