/**
 * Infers which requests crash backend servers by themselves. Load pattern: a request that ends each backend server that begins to run it
 * comes again and again, at any entry. Since a finding concerns nothing but this one request, each request is judged by itself; sound
 * requests that are lost with it in the same crashes are held back too until they are answered or the finding lapses.
 */
import {isSentAfter, type CrashRecord} from './crash-record.js';
import {MIN_CRASHES_SOUND_BEFORE, MIN_REQUEST_CRASHES, MIN_REQUEST_SEQUENCE} from './quarantine-constants.js';

/** A request that crashes backend servers. */
export type PoisonRequest = Readonly<{
	fingerprint: string;
	crashes: readonly CrashRecord[];
	/** Whether the request was answered before, so that the crashes may well have another cause. */
	isDoubtful: boolean;
}>;

/** Crashes in which a request was lost without an answer to it since. */
type Losses = Readonly<{
	crashes: readonly CrashRecord[];
	/** Those that followed one another: each had lost a request that was sent after the one before. */
	inSequence: readonly CrashRecord[];
}>;

const NO_LOSSES: Losses = {crashes: [], inSequence: []};

function listLosses(crashes: readonly CrashRecord[]): ReadonlyMap<string, Losses> {
	const byRequest = new Map<string, Losses>();
	for (const crash of crashes) {
		const lost = crash.lost.filter(({fingerprint}) => fingerprint !== '' && !crash.soundParts.has(fingerprint));
		for (const fingerprint of new Set(lost.map(request => request.fingerprint))) {
			const {crashes: earlier, inSequence} = byRequest.get(fingerprint) ?? NO_LOSSES;
			const isNext = lost.some(request => request.fingerprint === fingerprint && isSentAfter(request, inSequence.at(-1)));
			byRequest.set(fingerprint, {crashes: [...earlier, crash], inSequence: isNext ? [...inSequence, crash] : inSequence});
		}
	}

	return byRequest;
}

/** Finds the requests that were lost in enough crashes. */
export function findPoisonRequests(records: Iterable<CrashRecord>, isKnownSound: (fingerprint: string) => boolean): readonly PoisonRequest[] {
	const ordered = [...records].toSorted((left, right) => left.atMillis - right.atMillis);
	return [...listLosses(ordered)].flatMap(([fingerprint, {crashes, inSequence}]): readonly PoisonRequest[] => {
		const isDoubtful = isKnownSound(fingerprint) || crashes.some(({knownParts}) => knownParts.has(fingerprint));
		const isFound = isDoubtful
			? inSequence.length >= MIN_CRASHES_SOUND_BEFORE
			: crashes.length >= MIN_REQUEST_CRASHES && inSequence.length >= MIN_REQUEST_SEQUENCE;
		return isFound ? [{fingerprint, crashes, isDoubtful}] : [];
	});
}
