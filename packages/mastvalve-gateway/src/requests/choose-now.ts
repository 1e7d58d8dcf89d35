/**
 * The choice of an endpoint for a request, from what the entry knows at this moment.
 */

import type {FleetEndpoint} from 'mastvalve-fleet';
import {chooseEndpoint} from '../routing/choose-endpoint.js';
import type {GatewayCore} from '../server/gateway-core.js';
import type {CallerRequest} from './caller-request.js';

/** Chooses among what is here now. */
export const chooseNow = (core: GatewayCore, request: CallerRequest, tried: ReadonlySet<string>): FleetEndpoint | undefined =>
	chooseEndpoint({
		endpoints: core.view.listEndpoints(request.service),
		model: request.caller.model,
		adapter: request.caller.adapter,
		failureDomain: core.failureDomain,
		tried,
		now: core.clock.now(),
		knowledgeOf: id => core.board.find(id),
		random: core.random,
		headMs: core.headTimes.headMsOf(request.caller.model ?? ''),
		msPerToken: core.headTimes.msPerToken(request.caller.model ?? ''),
	});
