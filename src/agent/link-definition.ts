import type {Buffer} from 'node:buffer';
import {AgentLinkService, EntryFrame} from '../wire/generated/link.js';

/** Result of bytes that cannot be decoded. */
const BAD_FRAME: EntryFrame = {configVersion: 0, body: undefined};

/** Decodes a frame. Bytes that cannot be decoded give a frame without a body, which closes the link. */
// eslint-disable-next-line @typescript-eslint/no-restricted-types -- The library passes this type.
function decodeFrame(bytes: Buffer): EntryFrame {
	try {
		return EntryFrame.decode(bytes);
	} catch {
		return BAD_FRAME;
	}
}

/** Service of the links. The gRPC library leaves a stream open when it cannot decode a message, so frames are decoded here. */
export const agentLinkDefinition = {
	connect: {...AgentLinkService.connect, requestDeserialize: decodeFrame},
} as const;
