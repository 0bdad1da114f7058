/** Longest line, in characters; several times the longest item of a stream. */
const MAX_LINE_LENGTH = 1_048_576;

/** Splits a stream of UTF-8 bytes into lines. Text after the last line break is discarded. Throws at a line that is too long. */
export async function * splitLines(chunks: AsyncIterable<Uint8Array>): AsyncGenerator<string, void> {
	const decoder = new TextDecoder();
	let rest = '';
	for await (const chunk of chunks) {
		const lines = (rest + decoder.decode(chunk, {stream: true})).split('\n');
		rest = lines.pop() ?? '';
		if (rest.length > MAX_LINE_LENGTH) {
			throw new Error(`line of more than ${MAX_LINE_LENGTH} characters`);
		}

		yield * lines;
	}
}
