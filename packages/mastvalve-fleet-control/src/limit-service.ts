/**
 * Counts at the leader what may still be asked for: entries claim what a request costs its workspace before they take it, and a
 * permit of a limited endpoint before they hand a request over.
 */

import {
	LimitLedger, WorkspaceTable, type PriorGrant, type LimitClaim, type LimitTolerance,
} from 'mastvalve-access';
import {EndpointPhase, type FleetEndpoint, type ServingConfiguration} from 'mastvalve-fleet';
import {
	EndpointLimits, type LimitTimestamp, type EndpointLimit, type PermitClaim, type PermitResult, type LimitReport,
} from 'mastvalve-limits';

/** What it is made from. */
export type LimitServiceOptions = {
	tolerance: LimitTolerance;
	readConfiguration: () => ServingConfiguration | undefined;
	findEndpoint: (id: string) => FleetEndpoint | undefined;
	/** The term in which this instance leads with a valid lease; undefined when it doesn't. */
	readTerm: () => number | undefined;
	/** Monotonic, ms. */
	now: () => number;
};

/** What an entry asks of the leader. */
export type LimitRequest = {
	entry: string;
	claims: LimitClaim[];
	/** What answers of endpoints said of their limits. */
	words: LimitReport[];
	/** Requests for limited endpoints, the most urgent first. */
	handovers: PermitClaim[];
	/** Limited endpoints that did not get a request which was let through. */
	unused: string[];
	/** Reservations whose requests wait no more. */
	released: string[];
	/** What the entry was granted before; missing when it has told this leader already. */
	history?: PriorGrant[];
};

/** The answer. */
export type LimitResponse = {
	/** For each claim in its order 0, or the time until it can be taken, ms. */
	waitMs: number[];
	/** For each request for a limited endpoint. */
	grants: PermitResult[];
	/** When these requests were let through. */
	grantedAt: LimitTimestamp;
	/** Set when this leader doesn't know what the entry was granted before; nothing was taken then. */
	needsHistory: boolean;
};

/** The service. */
export class LimitService {
	/** Of the term in which this instance leads. */
	private account: {term: number; ledger: LimitLedger; endpoints: EndpointLimits; heard: Set<string>} | undefined;
	private known: {configuration: ServingConfiguration; workspaces: WorkspaceTable} | undefined;

	constructor(private readonly options: LimitServiceOptions) {}

	/** Answers claims; undefined when another instance may lead. */
	answer({entry, claims, history, words, handovers, unused, released}: LimitRequest): LimitResponse | undefined {
		const account = this.openAccount();
		if (!account) {
			return undefined;
		}

		const {ledger, endpoints, heard} = account;
		const workspaces = this.readWorkspaces();
		const now = this.options.now();
		if (history && !heard.has(entry)) {
			heard.add(entry);
			history.forEach(grant => {
				const known = workspaces?.findByName(grant.workspace);
				if (known) {
					ledger.addPriorGrant(known, grant, now);
				}
			});
		}

		if (!heard.has(entry)) {
			return {
				waitMs: [], grants: [], grantedAt: endpoints.timestamp, needsHistory: true,
			};
		}

		words.forEach(word => {
			endpoints.recordReport(word, now);
		});
		unused.forEach(endpoint => {
			endpoints.returnPermit(endpoint);
		});
		released.forEach(reservation => {
			endpoints.releaseReservation(reservation);
		});

		return {
			needsHistory: false,
			waitMs: claims.map(({workspace, cost}) => {
				const known = workspaces?.findByName(workspace);
				// A workspace that is gone has no limit here; the entry refuses its keys by itself.
				return known ? ledger.applyClaim(known, cost, now) : 0;
			}),
			grants: handovers.map(claim => endpoints.claim(claim, now)),
			grantedAt: endpoints.timestamp,
		};
	}

	/** Limits of endpoints that the log doesn't tell as they are; none while another instance may lead. */
	listChanged(): EndpointLimit[] {
		return this.openAccount()?.endpoints.listChanged() ?? [];
	}

	/** The account of the present term; another one may have counted in between. */
	private openAccount(): LimitService['account'] {
		const term = this.options.readTerm();
		if (term === undefined) {
			return undefined;
		}

		if (this.account?.term !== term) {
			this.account = {
				term, ledger: new LimitLedger(this.options.tolerance, this.options.now()), endpoints: new EndpointLimits(term, id => this.readRecorded(id)), heard: new Set(),
			};
		}

		return this.account;
	}

	private readRecorded(id: string): {perSecond: number | undefined} | 'unknown' {
		const endpoint = this.options.findEndpoint(id);
		return endpoint === undefined || endpoint.phase === EndpointPhase.Gone ? 'unknown' : {perSecond: endpoint.limitPerSecond};
	}

	private readWorkspaces(): WorkspaceTable | undefined {
		const configuration = this.options.readConfiguration();
		if (configuration && this.known?.configuration !== configuration) {
			this.known = {configuration, workspaces: new WorkspaceTable(configuration.workspaces ?? [])};
		}

		return configuration && this.known?.workspaces;
	}
}
