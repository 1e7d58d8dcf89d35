/**
 * What a gateway must be told of the headers that callers and endpoints use. The gateway knows their meaning only.
 */

import type {IncomingHttpHeaders} from 'node:http';
import type {PresentedKey} from 'mastvalve-access';
import type {LimitHeader, RetryAfter} from 'mastvalve-limits';

/** What a caller's headers say. */
export type CallerHeaders = {
	/** Identity of this request; endpoints echo it. */
	requestId: string | undefined;
	/** How long the caller will wait, ms. */
	remainingMs: number | undefined;
	model: string | undefined;
	adapter: string | undefined;
	promptTokens: number;
	/** Tokens that the answer may have at the most. */
	maxOutputTokens: number;
	/** Both of these, if the caller told them. */
	declaredTokens: {prompt: number; output: number} | undefined;
	/** Parts of the prompt in order; equal parts of different requests have equal ids. */
	promptParts: PromptPart[];
	/** Position in a stream after which the caller goes on. */
	resumeAfter: string | undefined;
};

/** A part of a prompt that others may share. */
export type PromptPart = {id: string; tokens: number};

/** What goes to an endpoint besides the caller's own headers. */
export type EndpointHeaders = {
	remainingMs: number;
	/** Identity of the incarnation that is meant. */
	endpointId: string;
	/** 0 is the most urgent. */
	priority: number;
	resumeAfter: string | undefined;
	/** Name of the workspace that asks; undefined for nobody in particular. */
	workspace: string | undefined;
	/** Set when the request has a body; it was read whole. */
	bodyLength: number | undefined;
};

/** What the head of an endpoint's answer says. */
export type AnswerHeaders = {
	requestId: string | undefined;
	/** Name of the endpoint that answered, if it tells; it may be another incarnation than the one that was meant. */
	endpointName: string | undefined;
	/** The endpoint states that the request was not run. */
	isNotRun: boolean;
	/** The endpoint at the address is another one, or it lacks the model. */
	isMisdirected: boolean;
	load: ReportedLoad | undefined;
	/** What it says of the requests that it takes from all entries together. */
	limit: LimitHeader;
	/** How long its sender asks this entry to send nothing. */
	retryAfter: RetryAfter;
	/** Its sender is about to end and takes no new requests. */
	isLeaving: boolean;
};

/** Load that an endpoint tells with an answer. */
export type ReportedLoad = {running: number; waiting: number; slots: number};

/** Who sets a header field of a request to an endpoint. */
export enum FieldOwner {
	/** Passed on as the caller sent it. */
	Caller = 'caller',
	/** Set by the entry or nobody; what a caller sends of it is dropped, or an endpoint would act on it. */
	Entry = 'entry',
	/** A caller's credentials: passed on only where the configuration asks for no keys, so that they are none of ours. */
	Credentials = 'credentials',
}

/** The dialect. */
export type Dialect = {
	/** All fields with a meaning, by their names in lower case. */
	fieldOwners: ReadonlyMap<string, FieldOwner>;
	readCaller: (headers: IncomingHttpHeaders) => CallerHeaders;
	/** The key among a flat list of names and values, in which fields that stand twice are seen. */
	readKey: (rawHeaders: readonly string[]) => PresentedKey;
	/** What the entry adds, as a flat list of names and values. */
	writeEndpoint: (added: EndpointHeaders) => string[];
	/** `rawHeaders` is a flat list of names and values, in which fields that stand twice are seen. */
	readAnswer: (statusCode: number, headers: IncomingHttpHeaders, rawHeaders: readonly string[]) => AnswerHeaders;
};
