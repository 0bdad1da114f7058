/** Collects bytes that arrive in pieces. */
import {Buffer} from 'node:buffer';

/** Bytes collected so far. The cost of a piece, in time and memory, does not depend on what came before. */
export type ByteCollector = Readonly<{
	append: (piece: Uint8Array) => void;
	/** Number of bytes collected. */
	size: () => number;
	/** Returns the bytes collected so far. */
	peek: () => Uint8Array;
	/** Returns the bytes and forgets them. */
	take: () => Uint8Array;
}>;

/** Sizes of the blocks into which small pieces are copied, in bytes. */
const MIN_BLOCK_BYTES = 256;
const MAX_BLOCK_BYTES = 16_384;
/** Size from which a piece is kept as it is, in bytes; the memory of the list is then small beside it. */
const MIN_KEPT_BYTES = 2048;

/** Creates an empty collector. */
export function createByteCollector(): ByteCollector {
	let parts: Uint8Array[] = [];
	/** The last part while small pieces are copied into it, and how much of it is used. */
	let block: Uint8Array | undefined;
	let usedBytes = 0;
	let size = 0;

	/** Ends the block, which keeps what it holds. */
	function closeBlock(): void {
		if (block) {
			parts[parts.length - 1] = block.subarray(0, usedBytes);
			block = undefined;
		}
	}

	function copy(piece: Uint8Array): void {
		if (!block || usedBytes + piece.length > block.length) {
			closeBlock();
			block = Buffer.allocUnsafeSlow(Math.max(piece.length, MIN_BLOCK_BYTES, Math.min(size, MAX_BLOCK_BYTES)));
			usedBytes = 0;
			parts.push(block);
		}

		block.set(piece, usedBytes);
		usedBytes += piece.length;
	}

	function keep(piece: Uint8Array): void {
		closeBlock();
		parts.push(piece);
	}

	function peek(): Uint8Array {
		closeBlock();
		const [only] = parts;
		if (only && parts.length > 1) {
			parts = [Buffer.concat(parts)];
		}

		return parts[0] ?? new Uint8Array(0);
	}

	return {
		append(piece) {
			if (piece.length === 0) {
				return;
			}

			// Most often, the first piece is the only one.
			if (size === 0 || piece.length >= MIN_KEPT_BYTES) {
				keep(piece);
			} else {
				copy(piece);
			}

			size += piece.length;
		},
		size: () => size,
		peek,
		take() {
			const bytes = peek();
			parts = [];
			size = 0;
			return bytes;
		},
	};
}
