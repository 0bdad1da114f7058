/** What may make a request crash backend servers: a part of its prompt, or the request as a whole. */
export type RequestContent = Readonly<{
	/** Ids of the parts of its prompt; the last one belongs to the request or its session. Empty for a plain request. */
	parts: readonly string[];
	/** Hash of path, caller and body; the same each time the request is sent. Empty if received from an entry of an earlier version. */
	fingerprint: string;
}>;

/** A request that a backend server had not answered when it crashed. */
export type LostRequest = RequestContent & Readonly<{
	attemptId: string;
	/** Monotonic time at which it was sent. */
	sentAtMillis: number;
}>;

/** A crash of a backend server that lost requests, as known from all entries. */
export type CrashRecord = Readonly<{
	server: string;
	/** Start time of the backend server that crashed, in milliseconds since 1970. */
	incarnation: number;
	/** Monotonic time at which the first entry noticed it. */
	atMillis: number;
	lost: readonly LostRequest[];
	/** Parts and fingerprints on which a backend server has written an answer since the crash, so that they did not cause it. */
	soundParts: ReadonlySet<string>;
	/** Parts and fingerprints on which any entry had seen an answer before the crash. */
	knownParts: ReadonlySet<string>;
}>;

/** Identifies the crash of one incarnation of a backend server. */
export function readCrashKey({server, incarnation}: Pick<CrashRecord, 'server' | 'incarnation'>): string {
	return `${server}|${incarnation}`;
}

/** Parts of a request, and its fingerprint. */
export function listTraits({parts, fingerprint}: RequestContent): readonly string[] {
	return fingerprint === '' ? parts : [...parts, fingerprint];
}

/**
 * Whether a lost request is evidence besides an earlier crash: it was sent after that crash was noticed, so that the two do not have
 * one cause of their own. A repeat of a request that was lost in that crash always is; times from other entries are less exact.
 */
export function isSentAfter({sentAtMillis, attemptId}: LostRequest, earlier: CrashRecord | undefined): boolean {
	return !earlier || sentAtMillis > earlier.atMillis || earlier.lost.some(lost => lost.attemptId === attemptId);
}
