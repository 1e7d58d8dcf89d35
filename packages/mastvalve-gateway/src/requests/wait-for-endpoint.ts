/**
 * Waits for an endpoint that may take a request: at once if there is one, else until a load of its model brings one.
 * An entry that is about to stop does not wait: another one may.
 */

import type {FleetEndpoint} from 'mastvalve-fleet';
import type {GatewayCore} from '../server/gateway-core.js';
import type {CallerRequest} from './caller-request.js';
import {chooseNow} from './choose-now.js';

/** An endpoint, or undefined when none comes in time. */
export const waitForEndpoint = async (core: GatewayCore, request: CallerRequest, tried: ReadonlySet<string>): Promise<FleetEndpoint | undefined> => {
	const now = chooseNow(core, request, tried);
	const {model, adapter} = request.caller;
	if (now || model === undefined || tried.size > 0 || core.isDraining()) {
		return now;
	}

	return new Promise(resolve => {
		const done = (endpoint: FleetEndpoint | undefined): void => {
			endWaiting();
			unsubscribe();
			core.onDrain.delete(onAbort);
			request.signal.removeEventListener('abort', onAbort);
			resolve(endpoint);
		};

		const onAbort = (): void => {
			done(undefined);
		};

		core.onDrain.add(onAbort);
		const unsubscribe = core.view.subscribe(() => {
			const endpoint = chooseNow(core, request, tried);
			if (endpoint) {
				done(endpoint);
			}
		});
		request.signal.addEventListener('abort', onAbort, {once: true});
		const endWaiting = core.demand.wait(request.service, model, adapter, request.deadlineAt);
		core.log('request.waits', {request: request.requestId, model, adapter, revision: core.view.revision});
	});
};
