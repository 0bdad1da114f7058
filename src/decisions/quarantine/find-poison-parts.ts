/**
 * Infers which parts of prompts crash backend servers. Load pattern: requests that share one part, and nothing else, arrive at any
 * entry, and each ends the backend server that begins to answer it. Sound requests share their other parts, and backend servers
 * crash for other reasons too, several at once or in a row.
 */
import {isSentAfter, type CrashRecord} from './crash-record.js';
import {MIN_CRASHES, MIN_CRASHES_SOUND_BEFORE} from './quarantine-constants.js';

/** Parts that crash backend servers. If there are several, they were never seen apart, and only requests with all of them are poisonous for sure. */
export type PoisonParts = Readonly<{
	parts: readonly string[];
	crashes: readonly CrashRecord[];
	/** Whether all of the parts were sound before, so that the crashes may well have another cause. */
	isDoubtful: boolean;
}>;

/** A part that was in flight, without a sound answer since, in crashes that followed one another. */
type Suspect = Readonly<{part: string; crashes: readonly CrashRecord[]}>;

/** What the entry knows of parts besides the crashes. */
export type PartHistory = Readonly<{
	/** Whether this entry has seen an answer on the part. */
	isKnownSound: (part: string) => boolean;
}>;

/** Parts that were in flight in several crashes. Most parts are not, as each request has one of its own. */
function listRepeatedParts(crashes: readonly CrashRecord[]): ReadonlySet<string> {
	const seen = new Set<string>();
	const repeated = new Set<string>();
	for (const crash of crashes) {
		const parts = new Set(crash.lost.flatMap(lost => lost.parts));
		for (const part of parts) {
			(seen.has(part) ? repeated : seen).add(part);
		}
	}

	return repeated;
}

/**
 * Counts the crashes of each part. A crash counts only for requests that were sent after the previous one was noticed: when many
 * backend servers fail at once, that is one piece of evidence.
 */
function listSuspects(crashes: readonly CrashRecord[]): readonly Suspect[] {
	const suspects = new Map<string, Suspect>();
	const candidates = listRepeatedParts(crashes);
	for (const crash of crashes) {
		const suspectParts = new Set(crash.lost.flatMap(lost => lost.parts.filter(part =>
			candidates.has(part) && !crash.soundParts.has(part) && isSentAfter(lost, suspects.get(part)?.crashes.at(-1)))));
		for (const part of suspectParts) {
			suspects.set(part, {part, crashes: [...suspects.get(part)?.crashes ?? [], crash]});
		}
	}

	return [...suspects.values()];
}

function wasSound({part, crashes}: Suspect, {isKnownSound}: PartHistory): boolean {
	return isKnownSound(part) || crashes.some(({knownParts}) => knownParts.has(part));
}

/** Crashes beyond those that are needed to quarantine the part; negative if there are too few. */
function readExcess(suspect: Suspect, history: PartHistory): number {
	return suspect.crashes.length - (wasSound(suspect, history) ? MIN_CRASHES_SOUND_BEFORE : MIN_CRASHES);
}

function compareSuspects(left: Suspect & Readonly<{excess: number}>, right: Suspect & Readonly<{excess: number}>): number {
	return right.excess - left.excess || right.crashes.length - left.crashes.length || (left.part < right.part ? -1 : 1);
}

/** Whether each request with the one part that was lost in its crashes has the other part too. */
function isAlwaysWith({part, crashes}: Suspect, other: string): boolean {
	return crashes.every(({lost}) => lost.every(({parts}) => !parts.includes(part) || parts.includes(other)));
}

/** Whether a request with all of the parts was lost in the crash. */
function isExplainedBy(crash: CrashRecord, parts: readonly string[]): boolean {
	return crash.lost.some(lost => parts.every(part => lost.parts.includes(part)));
}

/** Finds the parts that explain the crashes, the most suspect ones first; each crash is explained once. */
export function findPoisonParts(records: Iterable<CrashRecord>, history: PartHistory): readonly PoisonParts[] {
	let unexplained: readonly CrashRecord[] = [...records].toSorted((left, right) => left.atMillis - right.atMillis);
	const found: PoisonParts[] = [];
	for (;;) {
		const suspects = listSuspects(unexplained)
			.map(suspect => ({...suspect, excess: readExcess(suspect, history)}))
			.filter(({excess}) => excess >= 0)
			.toSorted(compareSuspects);
		const [first] = suspects;
		if (!first) {
			return found;
		}

		const inseparable = suspects.filter(suspect => suspect.excess === first.excess && isAlwaysWith(first, suspect.part));
		const parts = inseparable.map(({part}) => part).toSorted();
		found.push({parts, crashes: first.crashes, isDoubtful: inseparable.every(suspect => wasSound(suspect, history))});
		unexplained = unexplained.filter(crash => !isExplainedBy(crash, parts));
	}
}
