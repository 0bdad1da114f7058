import type {ServerDuplexStream} from '@grpc/grpc-js';
import type {ConfigurationHolder} from '../configuration/configuration-holder.js';
import type {AgentFrame, EntryFrame} from '../wire/generated/link.js';
import type {EntryChannel} from './agent-parts.js';

/** Stream of an entry, as the gRPC library passes it. */
export type EntryCall = ServerDuplexStream<EntryFrame, AgentFrame>;

/** Creates the sending side of a link that is open until `signal` aborts. Each frame carries the configuration version in force. */
export function createEntryChannel(call: EntryCall, configuration: ConfigurationHolder, signal: AbortSignal): EntryChannel {
	return {
		signal,
		async send(body) {
			if (signal.aborted || call.destroyed || call.writableEnded) {
				return;
			}

			if (!call.write({configVersion: configuration.version(), body})) {
				await waitUntilWritable(call, signal);
			}
		},
	};
}

async function waitUntilWritable(call: EntryCall, signal: AbortSignal): Promise<void> {
	await new Promise<void>(resolve => {
		const finish = () => {
			call.off('drain', finish);
			signal.removeEventListener('abort', finish);
			resolve();
		};

		call.once('drain', finish);
		signal.addEventListener('abort', finish, {once: true});
	});
}
