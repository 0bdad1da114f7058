import {createHash} from 'node:crypto';

/** SHA-256 of the concatenated pieces, as lower-case hex. */
export function sha256Hex(...pieces: ReadonlyArray<Uint8Array | string>): string {
	const hash = createHash('sha256');
	for (const piece of pieces) {
		hash.update(piece);
	}

	return hash.digest('hex');
}
