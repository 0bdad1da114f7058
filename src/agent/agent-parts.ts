import type {AttemptTable} from '../attempts/attempt-table.js';
import type {InFlightAttempts} from '../attempts/in-flight-attempts.js';
import type {ProcessContext} from '../daemon/process-context.js';
import type {Ledger} from '../ledger/ledger.js';
import type {AgentSettings} from '../settings/settings.js';
import type {AgentFrame, StartAttempt} from '../wire/generated/link.js';
import type {BackendLoadWatch} from './backend-load.js';
import type {Backend} from './backend.js';
import type {DrainState} from './drain-state.js';

/** What the tasks of an agent share. */
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
	/** Sends a frame; resolves when the stream has room for more, or is closed. A closed stream drops the frame. */
	send: (body: AgentBody) => Promise<void>;
	/** Aborts when the link is closed. */
	signal: AbortSignal;
}>;

/** One attempt on its way through the agent. */
export type AttemptTask = Readonly<{
	parts: AgentParts;
	channel: EntryChannel;
	start: StartAttempt;
	/** Aborts when the entry cancels the attempt or is gone. */
	signal: AbortSignal;
}>;
