/**
 * What all routes of an entry work on.
 */

import type {ConfigurationStore} from 'mastvalve-configuration';
import type {ControlClient} from 'mastvalve-control';
import type {ProgramContext} from 'mastvalve-http';
import type {RetryBudget} from 'mastvalve-routing';
import type {PolicySettings} from 'mastvalve-settings';
import {ControlUnavailableError, type Configuration, type Endpoint} from 'mastvalve-types';
import type {Dispatcher} from 'undici';
import {openAttempt, type AttemptAnswer} from '../requests/attempt.js';
import type {EntryRequest} from '../requests/entry-request.js';
import {tryEndpoints} from '../requests/try-endpoints.js';
import type {EndpointTable} from '../routing/endpoint-table.js';

/** Shared by all routes. */
export type EntryCore = {
	context: ProgramContext;
	policy: PolicySettings;
	store: ConfigurationStore;
	table: EndpointTable;
	budget: RetryBudget;
	agent: Dispatcher;
	control: ControlClient;
	random: () => number;
	/** Requests by model since the last report of demand. */
	demand: Map<string, number>;
	/** Streams to callers that have begun and not ended. */
	openStreams: number;
	/** Counts an attempt, for the metrics. */
	countAttempt: (isRetry: boolean) => void;
};

/** An answer with the endpoint that gives it. */
export type OpenAnswer = AttemptAnswer & {endpoint: Endpoint};

/** The configuration in force here. */
export const requireConfiguration = ({store}: EntryCore): Configuration => {
	if (!store.current) {
		throw new ControlUnavailableError('This entry has no configuration yet.');
	}

	return store.current;
};

/** Finds an endpoint that answers; `resumeAfter` tokens are with the caller already. */
export const openAnswer = async (core: EntryCore, request: EntryRequest, resumeAfter = 0) => {
	const {context, table, budget, random, store, agent} = core;
	return tryEndpoints(
		request,
		{
			table,
			budget,
			random,
			clock: context.clock,
			readConfiguration: () => store.current,
			recordRetry(error, endpoint) {
				core.countAttempt(true);
				context.timeline.record('request.retried', `after ${error.code} at ${endpoint.id}`, request.requestId);
			},
		},
		async endpoint => {
			context.timeline.record('request.routed', `to ${endpoint.id}${resumeAfter > 0 ? ` after ${resumeAfter} tokens` : ''}`, request.requestId);
			const opened = await openAttempt(request, {
				endpoint, agent, hybridClock: context.hybridClock, now: context.clock.now(), resumeAfter,
			});
			return opened.map((answer): OpenAnswer => {
				table.recordAnswer(endpoint, answer.headers['mastvalve-load']);
				return {...answer, endpoint};
			});
		},
	);
};
