/** Host and port of an address. */
export type HostPort = Readonly<{host: string; port: number}>;

/** Splits `host:port`. */
export function parseHostPort(address: string): HostPort {
	const colon = address.lastIndexOf(':');
	return {host: address.slice(0, colon), port: Number(address.slice(colon + 1))};
}

const MAX_PORT = 65_535;
/** Address of a host that can be connected to, without leading zeros; `0.0.0.0` names no host. */
const IPV4_ADDRESS = /^(?!0\.)(?:(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)(?:\.(?!$)|$)){4}$/v;
const PORT = /^[1-9]\d{0,4}$/v;

/** Whether the text is an IPv4 address and a port, as `IP:port`, to which a connection can be opened. */
export function isSocketAddress(text: string): boolean {
	const colon = text.lastIndexOf(':');
	const port = text.slice(colon + 1);
	return colon > 0 && IPV4_ADDRESS.test(text.slice(0, colon)) && PORT.test(port) && Number(port) <= MAX_PORT;
}
