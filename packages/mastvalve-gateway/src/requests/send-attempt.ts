/**
 * Sends a request to an endpoint; only the headers that the entry owns are changed.
 */

import type {Workspace} from 'mastvalve-access';
import type {FleetEndpoint} from 'mastvalve-fleet';
import {createEndpointHeaders} from '../endpoint-headers.js';
import type {GatewayCore} from '../server/gateway-core.js';
import {exchange, type ExchangeOutcome} from '../upstream/exchange.js';
import type {CallerRequest} from './caller-request.js';
import type {RequestProgress} from './request-progress.js';
import {rankRequest} from './rank-request.js';

/** Connect timeout, ms: connecting within a region takes a few ms, and a lost packet delays it by a second. */
const connectTimeoutMs = 400;

/** Whether the caller declared a body, even an empty one. */
const hasBody = ({headers}: CallerRequest): boolean => headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;

/** Endpoint of an attempt, the address that it copies kept parts of the prompt from, and the workspace that it is sent for. */
export type AttemptTarget = {endpoint: FleetEndpoint; copyFrom?: string; workspace: Workspace | undefined};

/** Sends one attempt; resolves when the head of the answer arrives, or when the attempt fails. */
export const sendAttempt = async (core: GatewayCore, request: CallerRequest, {endpoint, copyFrom, workspace}: AttemptTarget, progress: RequestProgress): Promise<ExchangeOutcome> => {
	const {caller, callerDeadlineAt, deadlineAt} = request;
	const remainingMs = Math.max(1, Math.floor(Math.min(callerDeadlineAt, deadlineAt) - core.clock.now()));
	const {configuration} = core.view;
	return exchange({
		agent: core.agent,
		address: endpoint.address,
		method: request.method,
		path: request.path,
		headers: createEndpointHeaders(core.dialect, request.rawHeaders, {
			remainingMs, endpointId: endpoint.id, priority: rankRequest(core, request, workspace), resumeAfter: progress.streamPosition?.lastEventId ?? caller.resumeAfter,
			bodyLength: hasBody(request) ? request.body.length : undefined, workspace: workspace?.name, copyFrom,
		}, {needsKeys: configuration?.needsKeys ?? false}),
		body: request.body,
		connectTimeoutMs,
		signal: request.signal,
	});
};
