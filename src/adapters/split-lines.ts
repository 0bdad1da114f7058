/** Longest line, in characters; several times the longest item of a stream. */
const MAX_LINE_LENGTH = 1_048_576;

/** Splits a stream of UTF-8 bytes into lines. Text after the last line break is discarded. Throws at a line that is too long. */
export async function * splitLines(chunks: AsyncIterable<Uint8Array>): AsyncGenerator<string, void> {
	const decoder = new TextDecoder();
	/** Pieces of the unfinished line, joined once it is complete. */
	let rest: string[] = [];
	let restLength = 0;
	for await (const chunk of chunks) {
		const [first = '', ...lines] = decoder.decode(chunk, {stream: true}).split('\n');
		rest.push(first);
		restLength += first.length;
		const last = lines.pop();
		if (last !== undefined) {
			yield rest.join('');
			yield * lines;
			rest = [last];
			restLength = last.length;
		}

		if (restLength > MAX_LINE_LENGTH) {
			throw new Error(`line of more than ${MAX_LINE_LENGTH} characters`);
		}
	}
}
