/** What the stand-ins share. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createConnection, createServer} from 'node:net';

/** Listens on a free port, or on this one; resolves to the port. */
export async function listen(server, host, port = 0) {
	server.listen(port, host);
	await once(server, 'listening');
	return server.address().port;
}

export async function readBody(stream) {
	const chunks = [];
	for await (const chunk of stream) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

/** A proxy whose open connections can fall silent for good, without a reset, while new ones work. */
export async function startProxy(host, targetHost, targetPort) {
	const pairs = new Set();
	const server = createServer(inner => {
		const outer = createConnection(targetPort, targetHost);
		const pair = {inner, outer, isSilent: false};
		pairs.add(pair);
		const forward = (from, to) => {
			from.on('data', bytes => {
				if (!pair.isSilent) {
					to.write(bytes);
				}
			});
			from.on('error', () => undefined);
			from.on('end', () => {
				if (!pair.isSilent) {
					to.end();
				}
			});
			from.on('close', () => {
				if (!pair.isSilent) {
					to.destroy();
				}
			});
		};

		forward(inner, outer);
		forward(outer, inner);
	});
	const port = await listen(server, host);
	return {
		address: `${host}:${port}`,
		/** Silences the connections that are open now. */
		silence() {
			for (const pair of pairs) {
				pair.isSilent = true;
			}
		},
		close() {
			server.close();
			for (const {inner, outer} of pairs) {
				inner.destroy();
				outer.destroy();
			}
		},
	};
}
