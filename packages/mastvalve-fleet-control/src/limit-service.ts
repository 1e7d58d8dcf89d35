/**
 * Enforces limits at the leader: entries claim the cost of a request from its workspace's limit before they admit it, and a
 * permit of a limited endpoint before they dispatch it.
 */

import {
	LimitLedger, WorkspaceTable, type PriorGrant, type LimitClaim, type LimitTolerance,
} from 'mastvalve-access';
import {EndpointPhase, type FleetEndpoint, type ServingConfiguration} from 'mastvalve-fleet';
import {
	EndpointLimits, type LimitTimestamp, type EndpointLimit, type PermitClaim, type PermitResult, type LimitReport,
} from 'mastvalve-limits';

export type LimitServiceOptions = {
	tolerance: LimitTolerance;
	readConfiguration: () => ServingConfiguration | undefined;
	findEndpoint: (id: string) => FleetEndpoint | undefined;
	/** Returns the term in which this instance leads with a valid lease; undefined if it doesn't lead. */
	readTerm: () => number | undefined;
	/** Monotonic, ms. */
	now: () => number;
};

/** Request of an entry to the leader. */
export type LimitRequest = {
	entry: string;
	claims: LimitClaim[];
	/** Limits that endpoints announced in their responses. */
	words: LimitReport[];
	/** Claims for permits of limited endpoints, most urgent first. */
	handovers: PermitClaim[];
	/** Limited endpoints whose granted permit was not used. */
	unused: string[];
	/** Reservations whose requests no longer wait. */
	released: string[];
	/** Earlier grants of the entry; missing once this leader has received them. */
	history?: PriorGrant[];
};

export type LimitResponse = {
	/** For each claim, in order: 0 if granted, otherwise the time until it can be granted, ms. */
	waitMs: number[];
	/** For each claim for a permit of a limited endpoint, in order. */
	grants: PermitResult[];
	/** Time at which the permits were granted. */
	grantedAt: LimitTimestamp;
	/** Whether this leader lacks the earlier grants of the entry; nothing is granted in that case. */
	needsHistory: boolean;
};

export class LimitService {
	/** Account of the current term; `synchronizedEntries` are those whose earlier grants are known. */
	private account: {term: number; ledger: LimitLedger; endpoints: EndpointLimits; synchronizedEntries: Set<string>} | undefined;
	private workspaceCache: {configuration: ServingConfiguration; workspaces: WorkspaceTable} | undefined;

	constructor(private readonly options: LimitServiceOptions) {}

	/** Grants or defers claims; undefined if another instance may lead. */
	answer({entry, claims, history, words, handovers, unused, released}: LimitRequest): LimitResponse | undefined {
		const account = this.readAccount();
		if (!account) {
			return undefined;
		}

		const {ledger, endpoints, synchronizedEntries} = account;
		const workspaces = this.readWorkspaces();
		const now = this.options.now();
		if (history && !synchronizedEntries.has(entry)) {
			synchronizedEntries.add(entry);
			history.forEach(grant => {
				const knownWorkspace = workspaces?.findByName(grant.workspace);
				if (knownWorkspace) {
					ledger.addPriorGrant(knownWorkspace, grant, now);
				}
			});
		}

		if (!synchronizedEntries.has(entry)) {
			return {
				waitMs: [], grants: [], grantedAt: endpoints.timestamp, needsHistory: true,
			};
		}

		words.forEach(report => {
			endpoints.recordReport(report, now);
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
				const knownWorkspace = workspaces?.findByName(workspace);
				// A removed workspace has no limit here; the entry refuses its keys.
				return knownWorkspace ? ledger.applyClaim(knownWorkspace, cost, now) : 0;
			}),
			grants: handovers.map(claim => endpoints.claim(claim, now)),
			grantedAt: endpoints.timestamp,
		};
	}

	/** Lists the limits of endpoints that differ from the log; none while another instance may lead. */
	listChanged(): EndpointLimit[] {
		return this.readAccount()?.endpoints.listChanged() ?? [];
	}

	/** Returns the account of the current term. An account of an earlier term is discarded, since another leader may have granted claims in between. */
	private readAccount(): LimitService['account'] {
		const term = this.options.readTerm();
		if (term === undefined) {
			return undefined;
		}

		if (this.account?.term !== term) {
			this.account = {
				term, ledger: new LimitLedger(this.options.tolerance, this.options.now()), endpoints: new EndpointLimits(term, id => this.readRecorded(id)), synchronizedEntries: new Set(),
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
		if (configuration && this.workspaceCache?.configuration !== configuration) {
			this.workspaceCache = {configuration, workspaces: new WorkspaceTable(configuration.workspaces ?? [])};
		}

		return configuration && this.workspaceCache?.workspaces;
	}
}
