/** How the calls of a deployment look on the wire. */
import type {RoutedAccount} from '../routing/routing-configuration.js';

/** Names and values, one after the other, as they came. */
export type RawHeaders = readonly string[];

/** What the head of a caller's request says. */
export type CallMetadata = Readonly<{
	/** Id of the caller's attempt; undefined when it sent none. */
	attemptId: string | undefined;
	/** Credential of the caller; undefined when it showed none. */
	credential: string | undefined;
	/** How long the caller will wait, in milliseconds. */
	deadlineMillis: number | undefined;
	/** Prompt tokens; 0 for a plain request. */
	promptTokens: number;
	/** Largest number of tokens to write; 0 for a plain request. */
	maxOutputTokens: number;
	/** Last event that the caller has of the stream; undefined when it asks from the start. */
	lastEventId: string | undefined;
}>;

/** What the system adds to a request that it sends on. */
export type ForwardOptions = Readonly<{
	serverId: string;
	account: RoutedAccount | undefined;
	/** Time left, in milliseconds. */
	deadlineMillis: number;
	/** Last event that was passed on; undefined at the first attempt. */
	lastEventId: string | undefined;
	/** 0 is served first. */
	priority: number;
}>;

/** Load that a backend server put on an answer. */
export type ReportedLoad = Readonly<{running: number; waiting: number; slots: number}>;

/** What the head of a backend server's answer says. */
export type AnswerMetadata = Readonly<{
	status: number;
	/** Attempt that it answers; undefined when it names none. */
	attemptId: string | undefined;
	/** The backend server states that it did not run the request and never will. */
	isNotRun: boolean;
	/** Whether it bears the signature of a backend server. */
	isSigned: boolean;
	/** Whether its body is encoded, which no backend server does. */
	isEncoded: boolean;
	/** Body length in bytes; undefined when the framing tells. */
	contentLength: number | undefined;
	load: ReportedLoad | undefined;
	/** Backend server that is at fault for a refusal, when it names one. */
	faultyServer: string | undefined;
	/** Headers for the caller. */
	forwardedHeaders: RawHeaders;
}>;

/** Translates between calls and the wire. */
export type CallCodec = Readonly<{
	readCall: (headers: RawHeaders) => CallMetadata;
	/** Headers of the request to a backend server. */
	forwardHeaders: (headers: RawHeaders, terms: ForwardOptions) => string[];
	readAnswer: (status: number, headers: RawHeaders) => AnswerMetadata;
}>;
