/** An address that could not be listened on. */
export type ListenError = Readonly<{tag: 'listen_failed'; address: string; detail: string}>;
