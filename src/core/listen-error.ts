/** Listening on an address failed. */
export type ListenError = Readonly<{tag: 'listen_failed'; address: string; detail: string}>;
