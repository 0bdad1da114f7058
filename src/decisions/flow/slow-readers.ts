/**
 * Chooses the answers that are given up because their callers read too slowly. It addresses callers that stop reading while they
 * keep their connections, as many at once do behind a link that fails: what is buffered for them must not fill the memory.
 */
import {sum} from '../sum.js';

/** An answer that is buffered for its caller. */
export type Reader = Readonly<{
	id: number;
	/** Bytes that wait to be read. */
	bufferedBytes: number;
	/** Time for which the caller has read none of them, in milliseconds. */
	stalledMillis: number;
}>;

/** Why an answer is given up. `memory`: all answers together buffer too much; `stalled`: its caller has read nothing for too long. */
export type GivenUpReader = Readonly<{reader: Reader; cause: 'memory' | 'stalled'}>;

export type ReaderLimits = Readonly<{
	/** Bytes that all answers together may buffer. */
	maxBytes: number;
	maxStallMillis: number;
}>;

/** Memory that a reader occupies, times the time for which it has made no use of it; bytes alone decide between readers that have just read. */
function rateOccupation({bufferedBytes, stalledMillis}: Reader): number {
	return bufferedBytes * Math.max(1, stalledMillis);
}

/**
 * Chooses all readers that have stalled for too long, and then, while the others buffer more than allowed, the one that occupies
 * the most memory for the longest time. A slow caller that reads is given up only when no stalled one is left.
 */
export function chooseReadersToGiveUp(readers: readonly Reader[], {maxBytes, maxStallMillis}: ReaderLimits): readonly GivenUpReader[] {
	const buffering = readers.filter(({bufferedBytes}) => bufferedBytes > 0);
	const isStalled = ({stalledMillis}: Reader) => stalledMillis >= maxStallMillis;
	const stalled = buffering.filter(reader => isStalled(reader)).map((reader): GivenUpReader => ({reader, cause: 'stalled'}));
	const others = buffering.filter(reader => !isStalled(reader)).toSorted((left, right) => rateOccupation(right) - rateOccupation(left));
	let leftBytes = sum(others.map(({bufferedBytes}) => bufferedBytes));
	const excess: GivenUpReader[] = [];
	for (const reader of others) {
		if (leftBytes <= maxBytes) {
			break;
		}

		leftBytes -= reader.bufferedBytes;
		excess.push({reader, cause: 'memory'});
	}

	return [...stalled, ...excess];
}
