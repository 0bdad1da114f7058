import type {Teardown} from '../core/teardown.js';

/** Sends and receives single datagrams, which may be lost, duplicated or reordered. */
export type DatagramSocket = Readonly<{
	/** Sends a datagram to `IP:port`. Failures are not reported: to the sender they are lost datagrams. */
	send: (address: string, bytes: Uint8Array) => void;
	/** Calls `listener` for each datagram with the `IP:port` of its sender. */
	registerListener: (listener: (bytes: Uint8Array, from: string) => void) => Teardown;
	/** Port that the socket is bound to. */
	port: number;
}>;
