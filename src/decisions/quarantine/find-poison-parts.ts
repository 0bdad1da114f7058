/**
 * Infers which parts of prompts crash backend servers. Load pattern: requests that share one part, and nothing else, arrive at any
 * entry, and each ends the backend server that begins to answer it. Sound requests share their other parts, and backend servers
 * crash for other reasons too, several at once or in a row.
 */
import {readCrashKey, type CrashRecord} from './crash-record.js';
import {MIN_CRASHES, MIN_CRASHES_STRICT} from './quarantine-constants.js';

/** Parts that crash backend servers. If there are several, they were never seen apart, and only requests with all of them are poisonous for sure. */
export type PoisonParts = Readonly<{parts: readonly string[]; crashes: readonly CrashRecord[]}>;

/** A part that was in flight, without a sound answer since, in crashes that followed one another. */
type Suspect = Readonly<{part: string; crashes: readonly CrashRecord[]; ownParts: ReadonlySet<string>}>;

/** Whether any backend server has written an answer on the part within the memory of this process. */
export type IsKnownSound = (part: string) => boolean;

/**
 * Counts the crashes of each part. A crash counts only for requests that were sent after the previous one was noticed: when many
 * backend servers fail at once, that is one piece of evidence.
 */
function listSuspects(crashes: readonly CrashRecord[]): readonly Suspect[] {
	const suspects = new Map<string, Suspect>();
	for (const crash of crashes) {
		const ownPartsByPart = new Map<string, Set<string>>();
		for (const {parts, sentAtMillis} of crash.lost) {
			for (const part of parts) {
				if (!crash.soundParts.has(part) && sentAtMillis > (suspects.get(part)?.crashes.at(-1)?.atMillis ?? -Infinity)) {
					ownPartsByPart.set(part, (ownPartsByPart.get(part) ?? new Set()).add(parts.at(-1) ?? ''));
				}
			}
		}

		for (const [part, ownParts] of ownPartsByPart) {
			const known = suspects.get(part);
			suspects.set(part, {part, crashes: [...known?.crashes ?? [], crash], ownParts: new Set([...known?.ownParts ?? [], ...ownParts])});
		}
	}

	return [...suspects.values()];
}

/** Crashes beyond those that are needed to quarantine the part; negative if there are too few. */
function readExcess({part, crashes, ownParts}: Suspect, isKnownSound: IsKnownSound): number {
	return crashes.length - (isKnownSound(part) || ownParts.size < 2 ? MIN_CRASHES_STRICT : MIN_CRASHES);
}

function haveSameCrashes(left: Suspect, right: Suspect): boolean {
	return left.crashes.length === right.crashes.length && left.crashes.every((crash, i) => crash === right.crashes[i]);
}

/** Whether requests with all of the parts were lost in the crash. */
function isExplainedBy(crash: CrashRecord, parts: readonly string[]): boolean {
	return crash.lost.some(lost => parts.every(part => lost.parts.includes(part)));
}

/** Finds the parts that explain the crashes, the most suspect ones first; each crash is explained once. */
export function findPoisonParts(records: Iterable<CrashRecord>, isKnownSound: IsKnownSound): readonly PoisonParts[] {
	let unexplained: readonly CrashRecord[] = [...records].toSorted((left, right) => left.atMillis - right.atMillis);
	const found: PoisonParts[] = [];
	for (;;) {
		const suspects = listSuspects(unexplained)
			.map(suspect => ({suspect, excess: readExcess(suspect, isKnownSound)}))
			.filter(({excess}) => excess >= 0)
			.toSorted((left, right) => right.excess - left.excess || right.suspect.crashes.length - left.suspect.crashes.length);
		const [first] = suspects;
		if (!first) {
			return found;
		}

		const parts = suspects
			.filter(({suspect, excess}) => excess === first.excess && haveSameCrashes(suspect, first.suspect))
			.map(({suspect}) => suspect.part)
			.toSorted();
		found.push({parts, crashes: first.suspect.crashes});
		unexplained = unexplained.filter(crash => !isExplainedBy(crash, parts));
	}
}

/** Lists the parts that are suspected in any of the crashes, for the log. */
export function listSuspectParts(crash: CrashRecord): readonly string[] {
	return [...new Set(crash.lost.flatMap(({parts}) => parts))].filter(part => !crash.soundParts.has(part));
}

/** Whether two findings are the same. */
export function isSameFinding(left: PoisonParts, right: PoisonParts): boolean {
	return left.parts.join(' ') === right.parts.join(' ') && left.crashes.map(crash => readCrashKey(crash)).join(' ') === right.crashes.map(crash => readCrashKey(crash)).join(' ');
}
