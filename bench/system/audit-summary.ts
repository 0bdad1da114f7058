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

/** Result of `pollenport audit verify`. */
export type AuditSummary = Readonly<{
	records: number;
	faults: number;
	/** Verdict by name of the promise. */
	verdicts: ReadonlyMap<string, string>;
	/** Audit records that show a breach of a promise. */
	breaches: readonly unknown[];
}>;

/** Parses the output of `pollenport audit verify --json`; missing or unreadable output counts as one fault. */
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
