/** A short text for a thrown value: the system's error code where it has one, else its message. */
export function describeError(err: unknown): string {
	if (!(err instanceof Error)) {
		return String(err);
	}

	const code: unknown = Reflect.get(err, 'code');
	return typeof code === 'string' ? code : err.message;
}
