/**
 * Enforces limits at the leader: entries claim the cost of a request from its workspace's limit before they admit it, and a
 * permit of a limited endpoint before they dispatch it.
 */

import {
	WorkspaceTable, type ExcessShare, type PriorGrant, type LimitClaim, type LimitTolerance, type LimitWaitMs, type RecordedCeilings,
} from 'mastvalve-access';
import {
	EndpointPhase, type FleetCommand, type FleetEndpoint, type ServingConfiguration,
} from 'mastvalve-fleet';
import type {
	LimitTimestamp, EndpointLimit, PermitClaim, PermitResult, LimitReport,
} from 'mastvalve-limits';
import {LimitAccount} from './limit-account.js';

export type LimitServiceOptions = {
	tolerance: LimitTolerance;
	readConfiguration: () => ServingConfiguration | undefined;
	findEndpoint: (id: string) => FleetEndpoint | undefined;
	/** Returns the term in which this instance leads with a valid lease; undefined if it doesn't lead. */
	readTerm: () => number | undefined;
	/** What the log holds of the grants to workspaces. */
	recordedGrants: RecordedCeilings;
	/** Resolves to whether the command was committed. */
	propose: (command: FleetCommand) => Promise<boolean>;
	/** Waits for a time in ms. */
	wait: (ms: number) => Promise<void>;
	/** Monotonic, ms. */
	now: () => number;
};

/** Request of an entry to the leader. */
export type LimitRequest = {
	entry: string;
	/** Number of the call, ascending; a call whose connection closed is repeated under the same number. */
	number?: number;
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
	/** What the entry granted itself and has reported to no leader; contained in `history`. Missing if empty. */
	localGrants?: PriorGrant[];
	/** What the entry may grant beyond its recent grants while no leader answers, as the last answer said. */
	excess?: ExcessShare | undefined;
	/** Whether the entry goes on calling without claims, so that a share can be taken back from it. */
	isKeepingContact?: boolean;
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
	/** Workspaces that use half of their window or more; missing if they are too many to list. */
	busy?: string[];
	/** What the entry may grant beyond its recent grants while no leader answers, for workspaces that aren't busy. */
	excess?: ExcessShare | undefined;
};

/** Longest time for which claims wait until their grants are recorded, ms: shorter than entries wait for an answer. */
const maxRecordMs = 100;
/** Interval at which ceilings are raised ahead of the usage, ms: a step lasts longer, and checking all workspaces at each call would cost more than it saves. */
const minRecordIntervalMs = 20;

/** Returns a repeated call without what would count twice in an entry's favour, and without the grants that were counted. */
const omitReturned = ({localGrants, ...request}: LimitRequest): LimitRequest =>
	({...request, claims: request.claims.map(claim => ({...claim, cost: Math.max(0, claim.cost)})), unused: []});

export class LimitService {
	/** Account of the current term. */
	private account: LimitAccount | undefined;
	private recordedAheadAt = Number.NEGATIVE_INFINITY;
	private workspaceCache: {configuration: ServingConfiguration; workspaces: WorkspaceTable} | undefined;

	constructor(private readonly options: LimitServiceOptions) {}

	/** Grants or defers claims; undefined if another instance may lead, or if grants could not be recorded in time. */
	async answer(received: LimitRequest): Promise<LimitResponse | undefined> {
		const account = this.readAccount();
		if (!account) {
			return undefined;
		}

		const request = account.hasHandled(received) ? omitReturned(received) : received;
		account.ledger.noteCall(request.entry, this.options.now(), request.excess);
		this.countReported(account, request);
		if (!account.synchronizedEntries.has(request.entry)) {
			return {
				waitMs: [], grants: [], grantedAt: account.endpoints.timestamp, needsHistory: true,
			};
		}

		account.noteHandled(request);
		const waitMs = await this.settleClaims(account, request);
		// Another leader may have granted claims while this one waited for a record.
		return waitMs && this.readAccount() === account ? this.settlePermits(account, request, waitMs) : undefined;
	}

	/** Records in the log what the present usage needs, unless it was just done. */
	async recordGrants(): Promise<void> {
		const now = this.options.now();
		if (now >= this.recordedAheadAt + minRecordIntervalMs) {
			this.recordedAheadAt = now;
			await this.readAccount()?.recorder.recordAhead();
		}
	}

	/** Lists the limits of endpoints that differ from the log; none while another instance may lead. */
	listChanged(): EndpointLimit[] {
		return this.readAccount()?.endpoints.listChanged() ?? [];
	}

	/** Counts what the entry was granted without this leader. */
	private countReported({ledger, synchronizedEntries}: LimitAccount, {entry, history, localGrants}: LimitRequest): void {
		const isKnown = synchronizedEntries.has(entry);
		const reported = isKnown ? localGrants : history;
		if (history) {
			synchronizedEntries.add(entry);
		}

		reported?.forEach(grant => {
			const workspace = this.readWorkspaces()?.findByName(grant.workspace);
			if (workspace) {
				ledger.addPriorGrant(workspace, grant, this.options.now(), entry);
			}
		});
	}

	/** Settles claims in their order; undefined if grants could not be recorded in time. What was granted by then stays counted. */
	private async settleClaims(account: LimitAccount, {entry, claims}: LimitRequest): Promise<LimitWaitMs[] | undefined> {
		const deadline = this.options.now() + maxRecordMs;
		const settled: LimitWaitMs[] = [];
		while (settled.length < claims.length) {
			const rest = claims.slice(settled.length);
			const unrecorded = rest.findIndex(claim => {
				const waitMs = this.settleClaim(account, entry, claim);
				settled.push(...(waitMs === undefined ? [] : [waitMs]));
				return waitMs === undefined;
			});
			// Claims are settled in order, and each record covers all that wait.
			// eslint-disable-next-line no-await-in-loop
			if (unrecorded !== -1 && !await this.recordWaiting(account, rest.slice(unrecorded), deadline)) {
				return undefined;
			}
		}

		return settled;
	}

	/** Settles one claim; undefined if its grant must be recorded first. */
	private settleClaim({ledger}: LimitAccount, entry: string, {workspace, cost}: LimitClaim): LimitWaitMs | undefined {
		const knownWorkspace = this.readWorkspaces()?.findByName(workspace);
		const now = this.options.now();
		// A removed workspace has no limit here; the entry refuses its keys.
		if (!knownWorkspace) {
			return 0;
		}

		return ledger.needsRecord(knownWorkspace, cost, now) ? undefined : ledger.applyClaim(knownWorkspace, cost, now, entry);
	}

	private async recordWaiting({ledger, recorder}: LimitAccount, claims: readonly LimitClaim[], deadline: number): Promise<boolean> {
		const {now, wait} = this.options;
		claims.forEach(({workspace, cost}) => {
			const knownWorkspace = this.readWorkspaces()?.findByName(workspace);
			if (knownWorkspace && ledger.needsRecord(knownWorkspace, cost, now())) {
				ledger.noteWaiting(knownWorkspace, cost, now());
			}
		});
		const remainingMs = deadline - now();
		return remainingMs > 0 && Promise.race([recorder.record(), wait(remainingMs).then(() => false)]);
	}

	private settlePermits(account: LimitAccount, {entry, isKeepingContact = false, words, unused, released, handovers}: LimitRequest, waitMs: LimitWaitMs[]): LimitResponse {
		const {endpoints} = account;
		const now = this.options.now();
		words.forEach(report => {
			endpoints.recordReport(report, now);
		});
		unused.forEach(endpoint => {
			endpoints.returnPermit(endpoint);
		});
		released.forEach(reservation => {
			endpoints.releaseReservation(reservation);
		});
		const busy = account.listBusy();
		return {
			needsHistory: false,
			waitMs,
			grants: handovers.map(claim => endpoints.claim(claim, now)),
			grantedAt: endpoints.timestamp,
			busy,
			excess: account.ledger.issueShare(entry, isKeepingContact && busy !== undefined, now),
		};
	}

	/** Returns the account of the current term. An account of an earlier term is discarded, since another leader may have granted claims in between. */
	private readAccount(): LimitAccount | undefined {
		const {readTerm, tolerance, recordedGrants, propose, now} = this.options;
		const term = readTerm();
		if (term === undefined) {
			return undefined;
		}

		if (this.account?.term !== term) {
			this.account = new LimitAccount({
				term, tolerance, recordedGrants, propose, now, readRecordedLimit: id => this.readRecorded(id),
			});
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
