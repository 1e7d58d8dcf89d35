/**
 * Trying endpoints until one takes a request: which next, whether again, and when to give up.
 */

import {chooseByScore, type ChooseCandidate, type RetryBudget} from 'mastvalve-routing';
import {
	ControlUnavailableError, type MastvalveError, Outcome, RefusedError, type Configuration, type Endpoint,
} from 'mastvalve-types';
import type {Clock} from 'mastvalve-utils';
import {err, type Result} from 'neverthrow';
import type {EndpointTable} from '../routing/endpoint-table.js';
import type {EntryRequest} from './entry-request.js';

/** What trying needs. */
export type TryOptions = {
	table: EndpointTable;
	budget: RetryBudget;
	clock: Clock;
	random: () => number;
	choose?: ChooseCandidate;
	readConfiguration: () => Configuration | undefined;
	recordRetry: (error: MastvalveError, endpoint: Endpoint) => void;
};

/** Attempts at one request at the most. */
const maxAttempts = 4;

/** Refusals that only mean that this entry's view was a moment old; going on costs nobody anything. */
const staleViewCodes = new Set(['endpoint-leaving', 'wrong-incarnation', 'not-held']);

/** Refusals by an endpoint that is well. */
const healthyCodes = new Set([...staleViewCodes, 'overloaded', 'engine-refused']);

/** Whether another endpoint may be tried after an error. */
const mayTryAgain = (error: MastvalveError, request: EntryRequest): boolean =>
	error.outcome === Outcome.NotRun ? error.code !== 'caller-left' : (request.isRepeatable && error.outcome === Outcome.Unknown && error.code !== 'deadline-passed');

/** Tries endpoints. `open` makes one attempt; whoever gets its answer calls `table.recordEnd` when that is over. */
export const tryEndpoints = async <T>(
	request: EntryRequest,
	options: TryOptions,
	open: (endpoint: Endpoint) => Promise<Result<T, MastvalveError>>,
): Promise<Result<T, MastvalveError>> => {
	const tried = new Set<string>();
	let last: Result<T, MastvalveError> | undefined;
	while (tried.size < maxAttempts) {
		const endpoint = chooseEndpoint(request, options, tried);
		if (!endpoint) {
			return last ?? err(createNoEndpointError(request, options.readConfiguration()));
		}

		tried.add(endpoint.id);
		options.table.recordStart(endpoint, request.prefixes);
		// Attempts follow each other; there are no hedges.
		// eslint-disable-next-line no-await-in-loop
		last = await open(endpoint);
		if (last.isOk()) {
			return last;
		}

		const {error} = last;
		recordOutcome(options.table, endpoint, error);
		const isStale = staleViewCodes.has(error.code);
		const mayGoOn = mayTryAgain(error, request) && options.clock.now() < request.deadlineAt && !request.signal.aborted;
		if (!mayGoOn || (!isStale && !options.budget.takeRetry())) {
			return last;
		}

		options.recordRetry(error, endpoint);
	}

	return last ?? err(createNoEndpointError(request, options.readConfiguration()));
};

const recordOutcome = (table: EndpointTable, endpoint: Endpoint, error: MastvalveError): void => {
	table.recordEnd(endpoint);
	if (!healthyCodes.has(error.code) && error.code !== 'deadline-passed' && error.code !== 'caller-left') {
		table.recordFailure(endpoint);
	}
};

const chooseEndpoint = (request: EntryRequest, options: TryOptions, tried: ReadonlySet<string>): Endpoint | undefined => {
	const configuration = options.readConfiguration();
	if (!configuration) {
		return undefined;
	}

	const candidates = options.table.listCandidates(configuration, request.service, request.model, request.prefixes)
		.filter(candidate => !tried.has(candidate.endpointId));
	const chosen = (options.choose ?? chooseByScore)(candidates, options.random);
	return candidates.find(candidate => candidate.endpointId === chosen?.endpointId)?.endpoint;
};

const createNoEndpointError = (request: EntryRequest, configuration: Configuration | undefined): MastvalveError =>
	(configuration
		? new RefusedError(`No endpoint of ${request.service} can take it now.`, 1, 'no-endpoint')
		: new ControlUnavailableError('This entry has no configuration yet.'));
