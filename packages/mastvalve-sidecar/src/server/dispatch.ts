/**
 * Handing an admitted request to the endpoint, and saying truthfully what became of it.
 */

import type {Readable} from 'node:stream';
import {Header, wasNeverSent} from 'mastvalve-http';
import {
	MastvalveError, Outcome, RefusedError, UnknownOutcomeError,
} from 'mastvalve-types';
import {describeError} from 'mastvalve-utils';
import {err, ok, type Result} from 'neverthrow';
import {request, type Dispatcher} from 'undici';

/** What is handed over. */
export type DispatchRequest = {
	url: string;
	method: string;
	headers: Record<string, string>;
	body: Uint8Array | undefined;
	signal: AbortSignal;
	/** The endpoint is a model engine, whose 429 and 503 mean that it did not run the request. */
	isEngine: boolean;
};

/** The endpoint's answer, while its body is still coming. */
export type DispatchAnswer = {status: number; headers: Headers; body: Readable};

/** Headers that belong to one connection and are not passed on. */
const connectionHeaders = new Set(['connection', 'keep-alive', 'transfer-encoding', 'upgrade', 'host', 'content-length', 'expect', 'te', 'trailer', 'proxy-connection', Header.Clock]);

const refusedByEngine = new Set([404, 429, 503]);
const engineRetryAfterSeconds = 1;

/** Headers without those of the connection. */
export const copyHeaders = (headers: Iterable<[string, string]>): Record<string, string> =>
	Object.fromEntries([...headers].filter(([name]) => !connectionHeaders.has(name.toLowerCase())));

const toHeaders = (raw: Dispatcher.ResponseData['headers']): Headers => {
	const headers = new Headers();
	Object.entries(raw).forEach(([name, value]) => {
		if (!connectionHeaders.has(name)) {
			[value ?? []].flat().forEach(item => {
				headers.append(name, item);
			});
		}
	});
	return headers;
};

/** Hands a request over. */
export const dispatchRequest = async (dispatch: DispatchRequest, agent: Dispatcher): Promise<Result<DispatchAnswer, MastvalveError>> => {
	try {
		const {url, method, headers, body, signal} = dispatch;
		const res = await request(url, {
			method, headers, body, signal, dispatcher: agent,
		});
		if (dispatch.isEngine && refusedByEngine.has(res.statusCode)) {
			await res.body.dump();
			return err(new RefusedError(`The engine refused it with ${res.statusCode}.`, engineRetryAfterSeconds, 'engine-refused'));
		}

		return ok({status: res.statusCode, headers: toHeaders(res.headers), body: res.body});
	} catch (error) {
		return err(toDispatchError(error));
	}
};

const toDispatchError = (thrown: unknown): MastvalveError => wasNeverSent(thrown)
	? new MastvalveError('endpoint-unreachable', `The endpoint takes no connection: ${describeError(thrown)}.`, {status: 503, outcome: Outcome.NotRun, retryAfterSeconds: 1})
	: new UnknownOutcomeError(`The connection to the endpoint broke: ${describeError(thrown)}.`, {cause: thrown});
