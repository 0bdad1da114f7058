import type {AttemptTable} from '../attempts/attempt-table.js';
import type {InFlightAttempts} from '../attempts/in-flight-attempts.js';
import type {ProcessContext} from '../daemon/process-context.js';
import type {Ledger} from '../ledger/ledger.js';
import type {AgentSettings} from '../settings/settings.js';
import type {AgentFrame, StartAttempt} from '../wire/generated/link.js';
import type {BackendLoadWatch} from './backend-load.js';
import type {Backend} from './backend.js';
import type {DrainState} from './drain-state.js';

/** State and dependencies that the tasks of an agent share. */
export type AgentParts = Readonly<{
	ctx: ProcessContext;
	settings: AgentSettings;
	backend: Backend;
	attempts: AttemptTable;
	inFlight: InFlightAttempts;
	ledger: Ledger;
	drainState: DrainState;
	loadWatch: BackendLoadWatch;
}>;

/** Body of a frame to an entry. */
export type AgentBody = NonNullable<AgentFrame['body']>;

/** Sending side of the link to one entry. */
export type EntryChannel = Readonly<{
	/** Sends a frame; resolves when the stream can take more, or is closed. A frame for a closed stream is dropped. */
	send: (body: AgentBody) => Promise<void>;
	/** Aborts when the link is closed. */
	signal: AbortSignal;
}>;

/** One attempt that the agent serves. */
export type AttemptTask = Readonly<{
	parts: AgentParts;
	channel: EntryChannel;
	start: StartAttempt;
	/** Aborts when the entry cancels the attempt or its link closes. */
	signal: AbortSignal;
}>;
