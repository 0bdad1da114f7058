import {Buffer} from 'node:buffer';
import {
	ChannelCredentials, Metadata, ServerCredentials,
} from '@grpc/grpc-js';
import {isSameSecret} from './is-same-secret.js';

/** Certificate files' contents of this process, PEM. */
export type TlsMaterial = Readonly<{
	certificate: Uint8Array;
	key: Uint8Array;
	authority: Uint8Array;
}>;

/** How the system's processes prove to each other who they are. */
export type LinkAccess = Readonly<{
	server: ServerCredentials;
	channel: ChannelCredentials;
	/** Metadata that every call of ours carries. */
	createMetadata: () => Metadata;
	/** Whether the caller showed the token; true for everybody when there is none. */
	isAuthorised: (metadata: Metadata) => boolean;
}>;

const AUTHORIZATION_KEY = 'authorization';

/** Builds the access of a process from its token and certificate, either of which may be missing on loopback. */
export function createLinkAccess(token: string | undefined, tls: TlsMaterial | undefined): LinkAccess {
	const expected = token === undefined ? undefined : `Bearer ${token}`;
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
			if (expected !== undefined) {
				metadata.set(AUTHORIZATION_KEY, expected);
			}

			return metadata;
		},
		isAuthorised(metadata) {
			const shown = metadata.get(AUTHORIZATION_KEY)[0];
			return expected === undefined || (typeof shown === 'string' && isSameSecret(shown, expected));
		},
	};
}
