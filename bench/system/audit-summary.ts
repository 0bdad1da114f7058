import {z} from 'zod';

const reportSchema = z.object({
	chains: z.number(),
	records: z.number(),
	dropped: z.number(),
	faults: z.array(z.unknown()),
	promises: z.array(z.object({
		name: z.string(), verdict: z.string(), detail: z.string(), records: z.array(z.unknown()),
	})),
});

/** What `pollenport audit verify` said. */
export type AuditSummary = Readonly<{
	records: number;
	faults: number;
	/** Verdict by promise. */
	verdicts: ReadonlyMap<string, string>;
	/** Records that show a breach. */
	breaches: readonly unknown[];
}>;

/** Reads the output of `pollenport audit verify --json`; no output counts as a fault. */
export function parseAuditReport(output: unknown): AuditSummary {
	const parsed = reportSchema.safeParse(output);
	if (!parsed.success) {
		return {
			records: 0, faults: 1, verdicts: new Map(), breaches: [],
		};
	}

	const {records, faults, promises} = parsed.data;
	return {
		records,
		faults: faults.length,
		verdicts: new Map(promises.map(({name, verdict}) => [name, verdict])),
		breaches: promises.flatMap(promise => promise.records),
	};
}
