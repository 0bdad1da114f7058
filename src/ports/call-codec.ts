/** Encoding of calls as the HTTP headers of a deployment. */
import type {RoutedAccount} from '../routing/routing-configuration.js';

/** Header names and values in alternation, as received. */
export type RawHeaders = readonly string[];

/** Values read from the headers of a caller's request. */
export type CallMetadata = Readonly<{
	/** Id of the caller's attempt; undefined when it sent none. */
	attemptId: string | undefined;
	/** Credential of the caller; undefined when it sent none. */
	credential: string | undefined;
	/** How long the caller will wait, in milliseconds. */
	deadlineMillis: number | undefined;
	/** Prompt tokens; 0 for a plain request. */
	promptTokens: number;
	/** Maximum number of output tokens; 0 for a plain request. */
	maxOutputTokens: number;
	/** Ids of the parts of the prompt, in order; requests share parts, except for the last, which belongs to the request or its session. Empty for a plain request. */
	promptParts: readonly string[];
	/** Id of the last stream event that the caller received; undefined when it requests the stream from the start. */
	lastEventId: string | undefined;
}>;

/** Values of the headers that are set on a forwarded request. */
export type ForwardOptions = Readonly<{
	serverId: string;
	account: RoutedAccount | undefined;
	/** Time left until the deadline, in milliseconds. */
	deadlineMillis: number;
	/** Id of the last event forwarded to the caller; undefined on the first attempt. */
	lastEventId: string | undefined;
	/** 0 is the highest priority. */
	priority: number;
}>;

/** Load that a backend server reports in the headers of an answer. */
export type ReportedLoad = Readonly<{running: number; waiting: number; slots: number}>;

/** Values read from the headers of a backend server's answer. */
export type AnswerMetadata = Readonly<{
	status: number;
	/** Id of the attempt that is answered; undefined when the header is missing. */
	attemptId: string | undefined;
	/** Whether the backend server states that it did not run the request and never will. */
	isNotRun: boolean;
	/** Whether the signature header of a backend server is present. */
	isSigned: boolean;
	/** Whether the body has a content encoding; no backend server uses one. */
	isEncoded: boolean;
	/** Whether the body is a stream of events; undefined when the headers state no type. */
	isEventStream: boolean | undefined;
	/** Body length in bytes; undefined when the framing marks the end of the body. */
	contentLength: number | undefined;
	load: ReportedLoad | undefined;
	/** Id of the backend server that caused a refusal, if the answer names one. */
	faultyServer: string | undefined;
	/** Whether the backend server announces that it is leaving. */
	isLeaving: boolean;
	/** Time for which a refusing backend server wants no requests, in milliseconds; undefined if it does not say so. */
	retryAfterMillis: number | undefined;
	/** Requests a second that the backend server takes from all entries together; undefined if it states no limit. */
	requestsPerSecond: number | undefined;
	/** Headers to forward to the caller. */
	forwardedHeaders: RawHeaders;
}>;

/** Reads and writes the headers of calls and answers. */
export type CallCodec = Readonly<{
	readCall: (headers: RawHeaders) => CallMetadata;
	/** Returns the headers of the request to a backend server. */
	forwardHeaders: (headers: RawHeaders, options: ForwardOptions) => string[];
	readAnswer: (status: number, headers: RawHeaders) => AnswerMetadata;
}>;
