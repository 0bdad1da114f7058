/**
 * Chooses which members an entry observes: all entries stand on a ring in the order of a hash of their ids, and each observes
 * the next ones that answer. A member is thus found dead by the same few observers at any size, and when many die at once, each
 * survivor goes on along the ring until somebody answers.
 */
import {crc32} from 'node:zlib';

type RingPlace = Readonly<{id: string; hash: number}>;

function placeOf(id: string): RingPlace {
	return {id, hash: crc32(id)};
}

function comparePlaces(left: RingPlace, right: RingPlace): number {
	return left.hash - right.hash || (left.id < right.id ? -1 : 1);
}

/** The ids in ring order, beginning after `self`. */
export function listSuccessors(self: string, ids: Iterable<string>): readonly string[] {
	const own = placeOf(self);
	const others = [...ids].filter(id => id !== self).map(id => placeOf(id)).toSorted(comparePlaces);
	const next = others.findIndex(place => comparePlaces(place, own) > 0);
	return (next === -1 ? others : [...others.slice(next), ...others.slice(0, next)]).map(({id}) => id);
}
