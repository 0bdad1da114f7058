/** What the entries tell one another of crashes of backend servers. */
import type {Clock} from '../core/clock.js';
import type {Teardown} from '../core/teardown.js';
import type {CrashRecord} from '../decisions/quarantine/crash-record.js';
import type {RequestQuarantine} from '../decisions/quarantine/request-quarantine.js';
import {type Crash} from '../wire/generated/membership.js';

/** Knowledge of one entry that the others get by datagrams. */
export type CrashEvidence = Readonly<{
	/** Hash of all that is known. */
	readDigest: () => number;
	/** All that is known, each item for a datagram of its own. */
	describeAll: () => readonly Crash[];
	merge: (crashes: readonly Crash[]) => void;
	/** Calls `listener` with what this entry has observed itself. */
	registerListener: (listener: (crashes: readonly Crash[]) => void) => Teardown;
}>;

/** Lost requests in one datagram; with ids of parts of 16 bytes and ten parts each it stays below the MTU of an Ethernet link. */
const LOST_PER_DATAGRAM = 5;
/** Sound parts, and parts known before, in one datagram. */
const SOUND_PARTS_PER_DATAGRAM = 12;

function describe({server, incarnation, atMillis, lost, soundParts, knownParts}: CrashRecord, nowMillis: number): readonly Crash[] {
	const sound = [...soundParts];
	const known = [...knownParts];
	const count = Math.max(1, Math.ceil(lost.length / LOST_PER_DATAGRAM), Math.ceil(Math.max(sound.length, known.length) / SOUND_PARTS_PER_DATAGRAM));
	return Array.from({length: count}, (_, i) => ({
		server,
		incarnation,
		ageMillis: Math.round(nowMillis - atMillis),
		lost: lost.slice(i * LOST_PER_DATAGRAM, (i + 1) * LOST_PER_DATAGRAM).map(({attemptId, parts, fingerprint, sentAtMillis}) => ({
			attempt: attemptId, parts: [...parts], fingerprint, sentAgeMillis: Math.round(nowMillis - sentAtMillis),
		})),
		soundParts: sound.slice(i * SOUND_PARTS_PER_DATAGRAM, (i + 1) * SOUND_PARTS_PER_DATAGRAM),
		knownParts: known.slice(i * SOUND_PARTS_PER_DATAGRAM, (i + 1) * SOUND_PARTS_PER_DATAGRAM),
	}));
}

function parse({server, incarnation, ageMillis, lost, soundParts, knownParts}: Crash, nowMillis: number): CrashRecord {
	return {
		server,
		incarnation,
		atMillis: nowMillis - ageMillis,
		lost: lost.map(({attempt, parts, fingerprint, sentAgeMillis}) => ({
			attemptId: attempt, parts, fingerprint, sentAtMillis: nowMillis - sentAgeMillis,
		})),
		soundParts: new Set(soundParts),
		knownParts: new Set(knownParts),
	};
}

/** Connects the quarantine of an entry with those of the others. */
export function createCrashEvidence(quarantine: RequestQuarantine, clock: Clock): CrashEvidence {
	const describeRecords = (records: readonly CrashRecord[]) => records.flatMap(record => describe(record, clock.monotonicMillis()));
	return {
		readDigest: quarantine.readDigest,
		describeAll: () => describeRecords(quarantine.listCrashes()),
		merge(crashes) {
			quarantine.merge(crashes.map(crash => parse(crash, clock.monotonicMillis())));
		},
		registerListener: listener => quarantine.registerListener(records => {
			listener(describeRecords(records));
		}),
	};
}
