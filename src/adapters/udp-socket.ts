import {once} from 'node:events';
import {createSocket} from 'node:dgram';
import {describeError} from '../core/describe-error.js';
import type {LifeCycle} from '../core/life-cycle.js';
import type {ListenError} from '../core/listen-error.js';
import {isSocketAddress, parseHostPort} from '../core/host-port.js';
import {fail, succeed, type Result} from '../core/result.js';
import type {Log} from '../observability/log.js';
import type {DatagramSocket} from '../ports/datagram-socket.js';

/** Opens a UDP socket on `IP:port`; the life cycle closes it. */
export async function openUdpSocket(address: string, lifeCycle: LifeCycle, log: Log): Promise<Result<DatagramSocket, ListenError>> {
	const socket = createSocket('udp4');
	const {host, port} = parseHostPort(address);
	socket.bind(port, host);
	try {
		await once(socket, 'listening');
	} catch (error) {
		return fail({tag: 'listen_failed', address, detail: describeError(error)});
	}

	let isClosed = false;
	let hasFailed = false;
	const noteFailure = (detail: string) => {
		// One line a series: an unreachable network fails every datagram.
		if (!hasFailed) {
			hasFailed = true;
			log.warn('datagrams cannot be sent', {detail});
		}
	};

	socket.on('error', err => {
		noteFailure(err.message);
	});
	lifeCycle.own('datagram socket', () => {
		isClosed = true;
		socket.close();
	});
	return succeed({
		port: socket.address().port,
		send(to, bytes) {
			if (isClosed) {
				return;
			}

			if (!isSocketAddress(to)) {
				noteFailure(`not an address: ${to}`);
				return;
			}

			const target = parseHostPort(to);
			socket.send(bytes, target.port, target.host, err => {
				if (err) {
					noteFailure(err.message);
				} else {
					hasFailed = false;
				}
			});
		},
		registerListener(listener) {
			const receive = (bytes: Uint8Array, from: Readonly<{address: string; port: number}>) => {
				listener(bytes, `${from.address}:${from.port}`);
			};

			socket.on('message', receive);
			return () => {
				socket.off('message', receive);
			};
		},
	});
}
