/**
 * Hands a request to an endpoint, unaltered but for what is the entry's to set.
 */

import type {Workspace} from 'mastvalve-access';
import type {FleetEndpoint} from 'mastvalve-fleet';
import {createEndpointHeaders} from '../endpoint-headers.js';
import type {GatewayCore} from '../server/gateway-core.js';
import {exchange, type ExchangeOutcome} from '../upstream/exchange.js';
import type {CallerRequest} from './caller-request.js';
import type {RequestProgress} from './request-progress.js';
import {rankRequest} from './rank-request.js';

/** A connection within a region is up in a few ms; a lost packet delays it by a second, ms. */
const connectTimeoutMs = 400;

/** Whether the caller announced a body, even an empty one. */
const hasBody = ({headers}: CallerRequest): boolean => headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;

/** Where a request goes, and in whose name. */
export type AttemptTarget = {endpoint: FleetEndpoint; workspace: Workspace | undefined};

/** One attempt, up to the head of an answer. */
export const sendAttempt = async (core: GatewayCore, request: CallerRequest, {endpoint, workspace}: AttemptTarget, progress: RequestProgress): Promise<ExchangeOutcome> => {
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
			bodyLength: hasBody(request) ? request.body.length : undefined, workspace: workspace?.name,
		}, {needsKeys: configuration?.needsKeys ?? false}),
		body: request.body,
		connectMs: connectTimeoutMs,
		signal: request.signal,
	});
};
