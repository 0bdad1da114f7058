/** Yields the chunks of a body; throws once it is longer than `maxBytes`, which ends the connection. */
export async function * limitBody(body: AsyncIterable<Uint8Array>, maxBytes: number): AsyncGenerator<Uint8Array, void> {
	let size = 0;
	for await (const chunk of body) {
		size += chunk.length;
		if (size > maxBytes) {
			throw new Error(`body of more than ${maxBytes} bytes`);
		}

		yield chunk;
	}
}
