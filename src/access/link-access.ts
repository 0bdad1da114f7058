import {Buffer} from 'node:buffer';
import {
	ChannelCredentials, Metadata, ServerCredentials,
} from '@grpc/grpc-js';
import {isSameSecret} from './is-same-secret.js';

/** PEM contents of the certificate files of this process. */
export type TlsMaterial = Readonly<{
	certificate: Uint8Array;
	key: Uint8Array;
	authority: Uint8Array;
}>;

/** Mutual authentication of the processes of the system. */
export type LinkAccess = Readonly<{
	server: ServerCredentials;
	channel: ChannelCredentials;
	/** Creates the metadata to send with every outgoing call. */
	createMetadata: () => Metadata;
	/** Whether the caller presented the token; always true when no token is configured. */
	isAuthorised: (metadata: Metadata) => boolean;
}>;

const AUTHORIZATION_KEY = 'authorization';

/** Creates the link access of a process from its token and certificate, either of which may be missing on loopback. */
export function createLinkAccess(token: string | undefined, tls: TlsMaterial | undefined): LinkAccess {
	const expectedHeader = token === undefined ? undefined : `Bearer ${token}`;
	return {
		server: tls
			? ServerCredentials.createSsl(Buffer.from(tls.authority), [{

				cert_chain: Buffer.from(tls.certificate), private_key: Buffer.from(tls.key),
			}], true)
			: ServerCredentials.createInsecure(),
		channel: tls
			? ChannelCredentials.createSsl(Buffer.from(tls.authority), Buffer.from(tls.key), Buffer.from(tls.certificate))
			: ChannelCredentials.createInsecure(),
		createMetadata() {
			const metadata = new Metadata();
			if (expectedHeader !== undefined) {
				metadata.set(AUTHORIZATION_KEY, expectedHeader);
			}

			return metadata;
		},
		isAuthorised(metadata) {
			const presented = metadata.get(AUTHORIZATION_KEY)[0];
			return expectedHeader === undefined || (typeof presented === 'string' && isSameSecret(presented, expectedHeader));
		},
	};
}
