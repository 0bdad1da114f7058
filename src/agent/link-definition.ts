import type {Buffer} from 'node:buffer';
import {AgentLinkService, EntryFrame} from '../wire/generated/link.js';

/** Stands for bytes that are no frame. */
const BAD_FRAME: EntryFrame = {configVersion: 0, body: undefined};

/** Reads a frame; bytes that are none give a frame without a body, which closes the link. */
// eslint-disable-next-line @typescript-eslint/no-restricted-types -- The library passes this type.
function readFrame(bytes: Buffer): EntryFrame {
	try {
		return EntryFrame.decode(bytes);
	} catch {
		return BAD_FRAME;
	}
}

/** The service of the links. The library leaves a stream open whose bytes it cannot read, so they are read here. */
export const agentLinkDefinition = {
	connect: {...AgentLinkService.connect, requestDeserialize: readFrame},
} as const;
