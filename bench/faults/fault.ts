import type {LocalSystem} from '../system/local-system.js';

/** A fault that was brought about; `heal` ends it. */
export type ActiveFault = Readonly<{
	heal: () => Promise<void>;
}>;

/** What a fault needs. */
export type FaultContext = Readonly<{
	system: LocalSystem;
	/** Uniform in [0, 1). */
	random: () => number;
	/** Notes a breach that only the fault itself can see. */
	report: (breach: string) => void;
}>;

/** A kind of fault. */
export type FaultKind = Readonly<{
	name: string;
	inject: (ctx: FaultContext) => Promise<ActiveFault>;
}>;
