/** Splits a stream of UTF-8 bytes into lines. Text after the last line break is discarded. */
export async function * splitLines(chunks: AsyncIterable<Uint8Array>): AsyncGenerator<string, void> {
	const decoder = new TextDecoder();
	let rest = '';
	for await (const chunk of chunks) {
		const lines = (rest + decoder.decode(chunk, {stream: true})).split('\n');
		rest = lines.pop() ?? '';
		yield * lines;
	}
}
