/**
 * Receiver side of one attempt's answer.
 *
 * An assembly is an immutable value. It accepts the frames of its own attempt in order of offset and drops all
 * others. The answer is whole only after an end frame whose count and digest match the accepted frames.
 */
import {createHash, type Hash} from 'node:crypto';
import {match} from 'ts-pattern';
import type {AttemptId} from '../core/ids.js';
import type {Data, End} from '../wire/generated/link.js';
import type {CountUnits} from './payload-units.js';

/** Why a frame was dropped. Each reason has its own counter. */
export type DropReason = 'other_attempt' | 'duplicate' | 'out_of_order' | 'after_end' | 'bad_count';

/** Why an answer that ended is not whole. */
export type BrokenReason = 'count_mismatch' | 'digest_mismatch';

export type AnswerFrame
	= | Readonly<{tag: 'data'; data: Data}>
		| Readonly<{tag: 'end'; end: End}>;

/** State of a partly received answer. */
export type Assembly = Readonly<{
	attemptId: AttemptId;
	state: 'open' | 'whole' | 'broken';
	/** Offset of the next expected frame, in units from the start of the whole answer. */
	nextOffset: number;
	/** Units accepted from this attempt. */
	count: number;
	countUnits: CountUnits;
	/** Hash of the accepted payloads; copied before each update, since an assembly is immutable. */
	hash: Hash;
}>;

/** How a frame was handled. */
export type FrameResult
	= | Readonly<{tag: 'taken'; offset: number; payload: Uint8Array}>
		| Readonly<{tag: 'dropped'; reason: DropReason}>
		| Readonly<{tag: 'whole'; end: End}>
		| Readonly<{tag: 'broken'; reason: BrokenReason}>;

/** The assembly after a frame, and how the frame was handled. */
export type AssemblyStep = Readonly<{assembly: Assembly; result: FrameResult}>;

/** Creates an assembly that expects its first frame at `firstOffset`, the offset at which the attempt starts. */
export function openAssembly(attemptId: AttemptId, firstOffset: number, countUnits: CountUnits): Assembly {
	return {
		attemptId,
		state: 'open',
		nextOffset: firstOffset,
		count: 0,
		countUnits,
		hash: createHash('sha256'),
	};
}

/** Processes one frame. Frames that arrive after the answer became whole or broken are dropped. */
export function acceptFrame(assembly: Assembly, frame: AnswerFrame): AssemblyStep {
	return match(frame)
		.with({tag: 'data'}, ({data}) => acceptData(assembly, data))
		.with({tag: 'end'}, ({end}) => acceptEnd(assembly, end))
		.exhaustive();
}

function acceptData(assembly: Assembly, data: Data): AssemblyStep {
	const reason = findDropReason(assembly, data);
	if (reason !== undefined) {
		return dropFrame(assembly, reason);
	}

	const taken = {
		...assembly,
		nextOffset: assembly.nextOffset + data.count,
		count: assembly.count + data.count,
		hash: assembly.hash.copy().update(data.payload),
	};
	return {assembly: taken, result: {tag: 'taken', offset: data.offset, payload: data.payload}};
}

function findDropReason(assembly: Assembly, data: Data): DropReason | undefined {
	if (data.attemptId !== assembly.attemptId) {
		return 'other_attempt';
	}

	if (assembly.state !== 'open') {
		return 'after_end';
	}

	if (data.offset < assembly.nextOffset) {
		return 'duplicate';
	}

	if (data.offset > assembly.nextOffset) {
		return 'out_of_order';
	}

	return data.count > 0 && assembly.countUnits(data.payload) === data.count ? undefined : 'bad_count';
}

function acceptEnd(assembly: Assembly, end: End): AssemblyStep {
	if (end.attemptId !== assembly.attemptId) {
		return dropFrame(assembly, 'other_attempt');
	}

	if (assembly.state !== 'open') {
		return dropFrame(assembly, 'after_end');
	}

	if (end.count !== assembly.count) {
		return markBroken(assembly, 'count_mismatch');
	}

	if (end.digest !== assembly.hash.copy().digest('hex')) {
		return markBroken(assembly, 'digest_mismatch');
	}

	return {assembly: {...assembly, state: 'whole'}, result: {tag: 'whole', end}};
}

function dropFrame(assembly: Assembly, reason: DropReason): AssemblyStep {
	return {assembly, result: {tag: 'dropped', reason}};
}

function markBroken(assembly: Assembly, reason: BrokenReason): AssemblyStep {
	return {assembly: {...assembly, state: 'broken'}, result: {tag: 'broken', reason}};
}
