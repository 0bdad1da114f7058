/** Exchange of configuration versions on one link: who is behind asks, who is ahead sends. */
import {createConfigDocument, parseConfigDocument} from '../configuration/configuration-document.js';
import type {ConfigurationHolder} from '../configuration/configuration-holder.js';
import type {ConfigVersion} from '../core/ids.js';
import type {Teardown} from '../core/teardown.js';
import type {ConfigDocument, EntryFrame} from '../wire/generated/link.js';

/** The exchange of one link. */
export type VersionExchange = Readonly<{
	/** Version on the agent's last frame. */
	peerVersion: () => ConfigVersion;
	/** Takes the version of a frame and sends or asks for a document when the two differ. */
	handlePeerVersion: (version: ConfigVersion) => void;
	/** Takes a document into force if it is newer; false when it is ill-formed. */
	handleDocument: (document: ConfigDocument) => boolean;
	/** Sends the version in force, if there is one. */
	sendCurrent: () => void;
	stop: Teardown;
}>;

/** Starts the exchange; each version that comes into force here is sent at once. */
export function startVersionExchange(holder: ConfigurationHolder, send: (body: NonNullable<EntryFrame['body']>) => void): VersionExchange {
	let peerVersion = 0;
	let offeredVersion = 0;
	let requestedVersion = 0;

	function sendOwn(): void {
		const cfg = holder.read();
		if (cfg) {
			offeredVersion = cfg.version;
			send({$case: 'config', config: createConfigDocument(cfg)});
		}
	}

	return {
		peerVersion: () => peerVersion,
		sendCurrent: sendOwn,
		stop: holder.registerListener(sendOwn),
		handlePeerVersion(version) {
			peerVersion = version;
			const own = holder.version();
			if (version > own && version > requestedVersion) {
				requestedVersion = version;
				send({$case: 'configRequest', configRequest: {knownVersion: own}});
			}

			if (version < own && offeredVersion < own) {
				sendOwn();
			}
		},
		handleDocument(document) {
			const parsed = parseConfigDocument(document);
			if (parsed.ok) {
				holder.offer(parsed.value);
			}

			return parsed.ok;
		},
	};
}
