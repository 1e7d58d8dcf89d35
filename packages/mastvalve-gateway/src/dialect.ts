/**
 * Interface to the headers that callers and endpoints use. The gateway depends only on their meaning; a dialect defines their names.
 */

import type {IncomingHttpHeaders} from 'node:http';
import type {PresentedKey} from 'mastvalve-access';
import type {LimitHeader, RetryAfter} from 'mastvalve-limits';

/** Parsed headers of a caller's request. */
export type CallerHeaders = {
	/** Id of the request; endpoints echo it. */
	requestId: string | undefined;
	/** Time until the caller's deadline, ms. */
	remainingMs: number | undefined;
	model: string | undefined;
	adapter: string | undefined;
	promptTokens: number;
	/** Maximum number of tokens of the answer. */
	maxOutputTokens: number;
	/** Estimated tokens of the answer: the caller's own estimate if it gives one. */
	expectedOutputTokens: number;
	/** Both token counts, if the caller declared them. */
	declaredTokens: {prompt: number; output: number} | undefined;
	/** Parts of the prompt in order; equal parts of different requests have the same id. */
	promptParts: PromptPart[];
	/** Id of the event after which the stream is resumed. */
	resumeAfter: string | undefined;
	/** Id of the caller's earlier request that brought the first event of the resumed stream. */
	startedBy: string | undefined;
};

/** A part of a prompt that other requests may share. */
export type PromptPart = {id: string; tokens: number};

/** Headers that the entry adds to a request to an endpoint. */
export type EndpointHeaders = {
	remainingMs: number;
	/** Id of the addressed incarnation. */
	endpointId: string;
	/** 0 is the most urgent. */
	priority: number;
	resumeAfter: string | undefined;
	/** Name of the caller's workspace; undefined for an anonymous caller. */
	workspace: string | undefined;
	/** Address of the engine from which the endpoint copies kept parts of the prompt; absent if it reads them. */
	copyFrom?: string;
	/** Length of the body in bytes; undefined when the request has none. */
	bodyLength: number | undefined;
};

/** Parsed head of an endpoint's answer. */
export type AnswerHeaders = {
	requestId: string | undefined;
	/** Name of the endpoint that answered, if it is reported; it may be an incarnation other than the addressed one. */
	endpointName: string | undefined;
	/** The endpoint states that the request was not run. */
	isNotRun: boolean;
	/** The address belongs to another endpoint, or the endpoint lacks the model. */
	isMisdirected: boolean;
	load: ReportedLoad | undefined;
	/** Limit that the endpoint reports for all entries together. */
	limit: LimitHeader;
	/** How long the endpoint asks this entry to send no requests. */
	retryAfter: RetryAfter;
	/** The endpoint is about to stop and accepts no new requests. */
	isLeaving: boolean;
};

/** Load that an endpoint reports with an answer. */
export type ReportedLoad = {
	running: number;
	waiting: number;
	slots: number;
	/** How long work takes there now, relative to what is usual in its service; undefined if the endpoint doesn't report it. */
	relativeDuration?: number;
};

/** Owner of a header field in requests to endpoints. */
export enum FieldOwner {
	/** Forwarded as the caller sent it. */
	Caller = 'caller',
	/** Set only by the entry; the caller's value is dropped, since an endpoint would act on it. */
	Entry = 'entry',
	/** Credentials of the caller: forwarded only if the configuration requires no keys, so that they aren't keys of mastvalve. */
	Credentials = 'credentials',
}

export type Dialect = {
	/** Owners of all fields of the dialect, by lower-case name. */
	fieldOwners: ReadonlyMap<string, FieldOwner>;
	parseCallerHeaders: (headers: IncomingHttpHeaders) => CallerHeaders;
	/** Reads the key from a flat list of names and values, which shows duplicate fields. */
	readKey: (rawHeaders: readonly string[]) => PresentedKey;
	/** Returns the headers that the entry adds, as a flat list of names and values. */
	buildEndpointHeaders: (added: EndpointHeaders) => string[];
	/** `rawHeaders` is a flat list of names and values, which shows duplicate fields. */
	parseAnswerHeaders: (statusCode: number, headers: IncomingHttpHeaders, rawHeaders: readonly string[]) => AnswerHeaders;
};
