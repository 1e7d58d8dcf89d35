/**
 * What one entry knows of the endpoints beyond the configuration: their last reported load, its own requests in
 * progress there, and which failed lately. Nothing in it must survive; any other entry may serve the next request.
 */

import {listAssignments, listLiveEndpoints} from 'mastvalve-configuration';
import {PrefixIndex, type Candidate} from 'mastvalve-routing';
import {
	AssignmentMode, type Configuration, type Endpoint, type Model,
} from 'mastvalve-types';
import type {Clock} from 'mastvalve-utils';

type Knowledge = {
	incarnation: number;
	/** Load that others caused there at the last report. */
	othersLoad: number;
	reportedAt: number;
	ownInFlight: number;
	suspectUntil: number;
	failures: number;
};

/** A report counts less and less; after this time a third of it is left, ms. */
const reportDecayMs = 2000;
const firstSuspicionMs = 500;
const maxSuspicionMs = 10_000;
const prefixCapacity = 20_000;

/** The table. */
export class EndpointTable {
	readonly prefixes = new PrefixIndex(prefixCapacity);
	private readonly known = new Map<string, Knowledge>();

	constructor(private readonly clock: Clock) {}

	/** Endpoints that may serve a model, or a plain service when no model is given. */
	listCandidates(configuration: Configuration, service: string, model: Model | undefined, prefixes: readonly number[]): Array<Candidate & {endpoint: Endpoint}> {
		return listLiveEndpoints(configuration, service).flatMap(endpoint => {
			const assignment = model && listAssignments(configuration, endpoint).find(candidate => candidate.model === model.name);
			if (model && !assignment) {
				return [];
			}

			const isLoaded = !model || (assignment?.mode === AssignmentMode.Resident && configuration.placements[endpoint.id]?.loaded.includes(model.name) === true);
			return [{endpoint, ...this.describe(endpoint, isLoaded, prefixes)}];
		});
	}

	/** A request goes there. */
	recordStart(endpoint: Endpoint, prefixes: readonly number[]): void {
		this.knowledgeOf(endpoint).ownInFlight += 1;
		this.prefixes.record(prefixes, endpoint.id);
	}

	/** A request there has ended. */
	recordEnd(endpoint: Endpoint): void {
		const knowledge = this.knowledgeOf(endpoint);
		knowledge.ownInFlight = Math.max(0, knowledge.ownInFlight - 1);
	}

	/** An answer came, with the load header of the sidecar. */
	recordAnswer(endpoint: Endpoint, loadHeader: string | undefined): void {
		const knowledge = this.knowledgeOf(endpoint);
		const [running = 0, queued = 0] = (loadHeader ?? '').split(';').map(Number);
		knowledge.failures = 0;
		knowledge.suspectUntil = 0;
		if (loadHeader !== undefined && Number.isFinite(running + queued)) {
			knowledge.othersLoad = Math.max(0, running + queued - knowledge.ownInFlight);
			knowledge.reportedAt = this.clock.now();
		}
	}

	/** It did not answer, or broke off: for a while others are tried first. */
	recordFailure(endpoint: Endpoint): void {
		const knowledge = this.knowledgeOf(endpoint);
		knowledge.suspectUntil = this.clock.now() + Math.min(maxSuspicionMs, firstSuspicionMs * (2 ** knowledge.failures));
		knowledge.failures += 1;
		this.prefixes.removeEndpoint(endpoint.id);
	}

	/** Forgets endpoints that are no longer in the configuration. */
	forgetMissing(configuration: Configuration): void {
		[...this.known.keys()].filter(id => !configuration.endpoints[id]).forEach(id => {
			this.known.delete(id);
			this.prefixes.removeEndpoint(id);
		});
	}

	private describe(endpoint: Endpoint, isResident: boolean, prefixes: readonly number[]): Candidate {
		const knowledge = this.knowledgeOf(endpoint);
		const now = this.clock.now();
		return {
			endpointId: endpoint.id,
			failureDomain: endpoint.failureDomain,
			isResident,
			reportedLoad: knowledge.othersLoad * Math.exp((knowledge.reportedAt - now) / reportDecayMs),
			ownInFlight: knowledge.ownInFlight,
			prefixShare: this.prefixes.computeHeldShare(prefixes, endpoint.id),
			isSuspect: now < knowledge.suspectUntil,
		};
	}

	private knowledgeOf(endpoint: Endpoint): Knowledge {
		const known = this.known.get(endpoint.id);
		if (known?.incarnation === endpoint.incarnation) {
			return known;
		}

		const created = {
			incarnation: endpoint.incarnation, othersLoad: 0, reportedAt: 0, ownInFlight: 0, suspectUntil: 0, failures: 0,
		};
		this.known.set(endpoint.id, created);
		return created;
	}
}
