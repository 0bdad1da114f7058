/** Keeps requests that crash backend servers, by a part of their prompts or by themselves, away from them, based on the crashes that all entries have seen. */
import {crc32} from 'node:zlib';
import type {Clock} from '../../core/clock.js';
import {createSnapshotStore} from '../../core/snapshot-store.js';
import type {Teardown} from '../../core/teardown.js';
import {
	listTraits, readCrashKey, type CrashRecord, type LostRequest, type RequestContent,
} from './crash-record.js';
import {findPoisonParts} from './find-poison-parts.js';
import {findPoisonRequests} from './find-poison-requests.js';
import {
	isSameFinding, listSuspectTraits, matchFinding, readFindingKey, type Finding,
} from './finding.js';
import {
	CRASH_LIFETIME_MILLIS, DOUBTFUL_QUARANTINE_MILLIS, MAX_CRASHES, MAX_LOST_REQUESTS, MAX_SOUND_PARTS, MIN_CRASHES, QUARANTINE_MILLIS,
} from './quarantine-constants.js';

/** Whether a request may be sent. */
export type QuarantineVerdict
	= | Readonly<{tag: 'clear'}>
	/** It may be sent as a probe, one at a time: it has some of several parts of which not all need be poisonous, or the quarantine has lapsed. */
		| Readonly<{tag: 'probe'; finding: Finding}>
		| Readonly<{tag: 'quarantined'; finding: Finding; leftMillis: number}>;

/** Quarantine of prompt parts and requests, as one entry knows it. */
export type RequestQuarantine = Readonly<{
	judge: (content: RequestContent) => QuarantineVerdict;
	/** Takes the right to send one request that is to be judged as a probe; undefined while another one is under way. */
	tryProbe: (finding: Finding) => Teardown | undefined;
	/** Records a request that was lost when a backend server crashed. */
	noteLost: (crash: Pick<CrashRecord, 'server' | 'incarnation'>, lost: LostRequest) => void;
	/** Records that a backend server writes an answer to such a request. */
	noteSound: (content: RequestContent) => void;
	/** Adds what another entry knows. */
	merge: (records: readonly CrashRecord[]) => void;
	listCrashes: () => readonly CrashRecord[];
	listFindings: () => readonly Finding[];
	/** Hash of the known crashes; the same for two entries that know the same. */
	readDigest: () => number;
	/** Calls `listener` with each observation of this entry's own, which the other entries are to receive. */
	registerListener: (listener: (records: readonly CrashRecord[]) => void) => Teardown;
}>;

type Deps = Readonly<{
	clock: Clock;
	onFound: (finding: Finding) => void;
	/** Called when what an earlier finding concerns is no longer held to be poisonous. */
	onReleased: (finding: Finding) => void;
}>;

/** Pause between two refreshes of the findings, as a multiple of the time that the first one took; bounds their share of the processor. */
const REFRESH_PAUSE_FACTOR = 10;

type Crashes = ReadonlyMap<string, CrashRecord>;

function mergeLost(known: readonly LostRequest[], added: readonly LostRequest[]): readonly LostRequest[] {
	const byAttempt = new Map(known.map(lost => [lost.attemptId, lost]));
	for (const lost of added) {
		const earlier = byAttempt.get(lost.attemptId);
		if (!earlier || lost.sentAtMillis < earlier.sentAtMillis) {
			byAttempt.set(lost.attemptId, lost);
		}
	}

	// All entries keep the same requests of a crash with too many.
	return [...byAttempt.values()].toSorted((left, right) => left.attemptId < right.attemptId ? -1 : 1).slice(0, MAX_LOST_REQUESTS);
}

/** Merges two records of one crash. Times that came over the network are late, so the earlier one holds. */
function mergeRecord(known: CrashRecord | undefined, added: CrashRecord): CrashRecord {
	return known
		? {
			...known,
			atMillis: Math.min(known.atMillis, added.atMillis),
			lost: mergeLost(known.lost, added.lost),
			soundParts: new Set([...known.soundParts, ...added.soundParts]),
			knownParts: new Set([...known.knownParts, ...added.knownParts]),
		}
		: added;
}

const hashes = new WeakMap<CrashRecord, number>();

/** Hash of what all entries hold alike about a crash. */
function hashRecord(record: CrashRecord): number {
	const known = hashes.get(record);
	if (known !== undefined) {
		return known;
	}

	const lost = record.lost.map(({attemptId}) => attemptId).toSorted();
	const hash = crc32([readCrashKey(record), ...lost, '', ...[...record.soundParts].toSorted(), '', ...[...record.knownParts].toSorted()].join('|'));
	hashes.set(record, hash);
	return hash;
}

/** Time for which a finding holds after its last crash, in milliseconds. */
function readQuarantineMillis({crashes, isDoubtful}: Finding): number {
	const baseMillis = isDoubtful ? DOUBTFUL_QUARANTINE_MILLIS : QUARANTINE_MILLIS;
	return Math.min(CRASH_LIFETIME_MILLIS, baseMillis * (2 ** (crashes.length - MIN_CRASHES)));
}

/** Creates a quarantine without crashes. */
export function createRequestQuarantine({clock, onFound, onReleased}: Deps): RequestQuarantine {
	const crashes = createSnapshotStore<Crashes>(new Map());
	const listeners = new Set<(records: readonly CrashRecord[]) => void>();
	/** Parts and fingerprints with the monotonic time of the last answer on them, the least recent first. */
	const soundAtMillis = new Map<string, number>();
	const probing = new Set<string>();
	let findings: readonly Finding[] = [];
	/** Parts and fingerprints that may have caused a crash. */
	let suspectTraits: ReadonlySet<string> = new Set();
	/** Whether crashes have changed since the findings were made. */
	let isOutdated = false;
	/** When the findings may be made again. */
	let refreshableAtMillis = -Infinity;

	function updateFindings(): void {
		const before = findings;
		const known = crashes.read();
		const isKnownSound = (trait: string) => soundAtMillis.has(trait);
		suspectTraits = new Set([...known.values()].flatMap(record => listSuspectTraits(record)));
		findings = [
			...findPoisonParts(known.values(), {isKnownSound}).map(found => ({...found, tag: 'parts' as const})),
			...findPoisonRequests(known.values(), isKnownSound).map(found => ({...found, tag: 'request' as const})),
		];
		for (const finding of findings.filter(next => !before.some(earlier => isSameFinding(earlier, next)))) {
			onFound(finding);
		}

		for (const finding of before.filter(earlier => !findings.some(next => readFindingKey(next) === readFindingKey(earlier)))) {
			onReleased(finding);
		}
	}

	/** Brings the findings up to date, unless that took long the last time, as after the loss of many backend servers at once. */
	function refreshFindings(): void {
		const startedAtMillis = clock.monotonicMillis();
		if (!isOutdated || startedAtMillis < refreshableAtMillis) {
			return;
		}

		isOutdated = false;
		updateFindings();
		const endedAtMillis = clock.monotonicMillis();
		refreshableAtMillis = endedAtMillis + ((endedAtMillis - startedAtMillis) * REFRESH_PAUSE_FACTOR);
	}

	crashes.registerListener(() => {
		isOutdated = true;
	});

	/** Forgets the oldest crashes, those that explain nothing first. */
	function limit(records: Crashes): Crashes {
		const recent = [...records].filter(([, {atMillis}]) => clock.monotonicMillis() - atMillis < CRASH_LIFETIME_MILLIS);
		if (recent.length > MAX_CRASHES) {
			refreshFindings();
		}

		const explained = new Set(findings.flatMap(finding => finding.crashes.map(crash => readCrashKey(crash))));
		return new Map(recent
			.toSorted(([leftKey, left], [rightKey, right]) => Number(explained.has(rightKey)) - Number(explained.has(leftKey)) || right.atMillis - left.atMillis)
			.slice(0, MAX_CRASHES));
	}

	/** The records with the changes; `before` itself if there are none. */
	function addRecords(before: Crashes, changed: readonly CrashRecord[]): Crashes {
		return changed.length > 0 ? limit(new Map([...before, ...changed.map(record => [readCrashKey(record), record] as const)])) : before;
	}

	/** Adds what this entry has seen of the requests lost in a crash: answers before it, and answers since. */
	function addObservations(record: CrashRecord): CrashRecord {
		const seen = record.lost.flatMap(lost => listTraits(lost)).filter(part => soundAtMillis.has(part));
		const sound = seen.filter(part => (soundAtMillis.get(part) ?? -Infinity) > record.atMillis && !record.soundParts.has(part));
		const known = seen.filter(part => !record.knownParts.has(part));
		return sound.length + known.length > 0
			? {...record, soundParts: new Set([...record.soundParts, ...sound]), knownParts: new Set([...record.knownParts, ...known])}
			: record;
	}

	function announce(records: readonly CrashRecord[]): void {
		if (records.length > 0) {
			for (const listener of listeners) {
				listener(records);
			}
		}
	}

	return {
		judge(content) {
			refreshFindings();
			const nowMillis = clock.monotonicMillis();
			let verdict: QuarantineVerdict = {tag: 'clear'};
			for (const finding of findings) {
				const lastCrashAtMillis = finding.crashes.at(-1)?.atMillis ?? nowMillis;
				const leftMillis = lastCrashAtMillis + readQuarantineMillis(finding) - nowMillis;
				const matching = matchFinding(finding, content);
				if (leftMillis > 0 && matching === 'all') {
					return {tag: 'quarantined', finding, leftMillis};
				}

				if (matching !== 'none') {
					verdict = {tag: 'probe', finding};
				}
			}

			return verdict;
		},
		tryProbe(finding) {
			const key = readFindingKey(finding);
			if (probing.has(key)) {
				return undefined;
			}

			probing.add(key);
			return () => {
				probing.delete(key);
			};
		},
		noteLost(crash, lost) {
			const observed = addObservations({
				...crash, atMillis: clock.monotonicMillis(), lost: [lost], soundParts: new Set(), knownParts: new Set(),
			});
			crashes.update(before => addRecords(before, [mergeRecord(before.get(readCrashKey(crash)), observed)]));
			announce([observed]);
		},
		noteSound(content) {
			const nowMillis = clock.monotonicMillis();
			const sound = new Set(listTraits(content));
			for (const trait of sound) {
				soundAtMillis.delete(trait);
				soundAtMillis.set(trait, nowMillis);
			}

			while (soundAtMillis.size > MAX_SOUND_PARTS) {
				soundAtMillis.delete(soundAtMillis.keys().next().value ?? '');
			}

			refreshFindings();

			if (![...sound].some(trait => suspectTraits.has(trait))) {
				return;
			}

			const cleared = [...crashes.read().values()]
				.map(record => ({record, added: listSuspectTraits(record).filter(trait => sound.has(trait))}))
				.filter(({added}) => added.length > 0);
			crashes.update(before => addRecords(before, cleared.map(({record, added}) => ({...record, soundParts: new Set([...record.soundParts, ...added])}))));
			announce(cleared.map(({record, added}) => ({
				...record, lost: [], soundParts: new Set(added), knownParts: new Set(),
			})));
		},
		merge(records) {
			const cleared: CrashRecord[] = [];
			crashes.update(before => {
				let after = before;
				for (const record of records) {
					const known = after.get(readCrashKey(record));
					const merged = mergeRecord(known, record);
					const result = addObservations(merged);
					if (result.soundParts.size > merged.soundParts.size) {
						cleared.push({...result, lost: []});
					}

					if (!known || hashRecord(known) !== hashRecord(result) || known.atMillis !== result.atMillis) {
						after = addRecords(after, [result]);
					}
				}

				return after;
			});
			announce(cleared);
		},
		listCrashes: () => [...crashes.read().values()],
		listFindings() {
			refreshFindings();
			return findings;
		},
		readDigest: () => [...crashes.read().values()].reduce((total, record) => (total + hashRecord(record)) % (2 ** 32), 0),
		registerListener(listener) {
			listeners.add(listener);
			return () => {
				listeners.delete(listener);
			};
		},
	};
}
