/** Short text for a thrown value: the system error code if it has one, otherwise its message. */
export function describeError(err: unknown): string {
	if (!(err instanceof Error)) {
		return String(err);
	}

	const code: unknown = Reflect.get(err, 'code');
	return typeof code === 'string' ? code : err.message;
}
