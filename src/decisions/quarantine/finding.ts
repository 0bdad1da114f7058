/** What is held to crash backend servers. */
import {
	listTraits, readCrashKey, type CrashRecord, type LostRequest, type RequestContent,
} from './crash-record.js';
import type {PoisonParts} from './find-poison-parts.js';
import type {PoisonRequest} from './find-poison-requests.js';

/** Parts of prompts, or a request as a whole. */
export type Finding = Readonly<{tag: 'parts'} & PoisonParts> | Readonly<{tag: 'request'} & PoisonRequest>;

/** Parts, or the fingerprint, that a request has if the finding concerns it. */
export function readFindingTraits(finding: Finding): readonly string[] {
	return finding.tag === 'parts' ? finding.parts : [finding.fingerprint];
}

/** Identifies what is held to crash backend servers. */
export function readFindingKey(finding: Finding): string {
	return readFindingTraits(finding).join(' ');
}

/** Whether two findings are the same and rest on the same crashes. */
export function isSameFinding(left: Finding, right: Finding): boolean {
	const listCrashKeys = ({crashes}: Finding) => crashes.map(crash => readCrashKey(crash)).join(' ');
	return readFindingKey(left) === readFindingKey(right) && listCrashKeys(left) === listCrashKeys(right);
}

/** Whether a request has all, some or none of what is held to crash backend servers. */
export function matchFinding(finding: Finding, content: RequestContent): 'all' | 'some' | 'none' {
	const traits = new Set(listTraits(content));
	const matching = readFindingTraits(finding).filter(trait => traits.has(trait)).length;
	return matching === 0 ? 'none' : (matching === readFindingTraits(finding).length ? 'all' : 'some');
}

/** Requests that were lost in the crashes of a finding and that it concerns. */
export function listLostRequests(finding: Finding): readonly LostRequest[] {
	return finding.crashes.flatMap(({lost}) => lost.filter(request => matchFinding(finding, request) === 'all'));
}

/** Parts and fingerprints that may have caused a crash. */
export function listSuspectTraits({lost, soundParts}: CrashRecord): readonly string[] {
	return [...new Set(lost.flatMap(request => listTraits(request)))].filter(trait => !soundParts.has(trait));
}
