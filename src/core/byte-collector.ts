/** Collects bytes that arrive in pieces. */
import {Buffer} from 'node:buffer';

/** Bytes collected so far. Appending copies a piece once, on average, regardless of its size and of what came before. */
export type ByteCollector = Readonly<{
	append: (piece: Uint8Array) => void;
	/** Number of bytes collected. */
	size: () => number;
	/** Returns the bytes collected so far. */
	peek: () => Uint8Array;
	/** Returns the bytes and forgets them. */
	take: () => Uint8Array;
}>;

/** Smallest capacity that is allocated, in bytes. */
const MIN_CAPACITY_BYTES = 256;

/** Creates an empty collector. */
export function createByteCollector(): ByteCollector {
	/** The only piece so far, which is not copied. */
	let single: Uint8Array | undefined;
	let buffer: Uint8Array = new Uint8Array(0);
	let size = 0;

	function copy(piece: Uint8Array): void {
		if (size + piece.length > buffer.length) {
			const grown = Buffer.allocUnsafeSlow(Math.max(MIN_CAPACITY_BYTES, 2 * (size + piece.length)));
			grown.set(buffer.subarray(0, size));
			buffer = grown;
		}

		buffer.set(piece, size);
		size += piece.length;
	}

	const peek = () => single ?? buffer.subarray(0, size);

	return {
		append(piece) {
			if (piece.length === 0) {
				return;
			}

			if (size === 0 && !single) {
				single = piece;
				return;
			}

			if (single) {
				copy(single);
				single = undefined;
			}

			copy(piece);
		},
		size: () => single?.length ?? size,
		peek,
		take() {
			const bytes = peek();
			single = undefined;
			buffer = new Uint8Array(0);
			size = 0;
			return bytes;
		},
	};
}
