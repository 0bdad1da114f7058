/** Host and port of an address. */
export type HostPort = Readonly<{host: string; port: number}>;

/** Splits `host:port`. */
export function parseHostPort(address: string): HostPort {
	const colon = address.lastIndexOf(':');
	return {host: address.slice(0, colon), port: Number(address.slice(colon + 1))};
}
