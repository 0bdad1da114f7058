/** Configuration exchange on one link: the side with the older version requests the document, the side with the newer one sends it. */
import {createConfigDocument, parseConfigDocument} from '../configuration/configuration-document.js';
import type {ConfigurationHolder} from '../configuration/configuration-holder.js';
import type {ConfigVersion} from '../core/ids.js';
import type {Teardown} from '../core/teardown.js';
import type {ConfigDocument, EntryFrame} from '../wire/generated/link.js';

export type VersionExchange = Readonly<{
	/** Configuration version on the agent's last frame. */
	peerVersion: () => ConfigVersion;
	/** Compares the version of an agent's frame with that of this entry, and sends or requests a document when they differ. */
	handlePeerVersion: (version: ConfigVersion) => void;
	/** Puts a document into force if it is newer; false when it is malformed. */
	handleDocument: (document: ConfigDocument) => boolean;
	/** Sends the configuration in force, if there is one. */
	sendCurrent: () => void;
	stop: Teardown;
}>;

/** Starts the exchange; each version that comes into force on this entry is sent immediately. */
export function startVersionExchange(holder: ConfigurationHolder, send: (body: NonNullable<EntryFrame['body']>) => void): VersionExchange {
	let peerVersion = 0;
	let offeredVersion = 0;
	let requestedVersion = 0;

	function sendCurrent(): void {
		const cfg = holder.read();
		if (cfg) {
			offeredVersion = cfg.version;
			send({$case: 'config', config: createConfigDocument(cfg)});
		}
	}

	return {
		peerVersion: () => peerVersion,
		sendCurrent,
		stop: holder.registerListener(sendCurrent),
		handlePeerVersion(version) {
			peerVersion = version;
			const own = holder.version();
			if (version > own && version > requestedVersion) {
				requestedVersion = version;
				send({$case: 'configRequest', configRequest: {knownVersion: own}});
			}

			if (version < own && offeredVersion < own) {
				sendCurrent();
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
